package org.oleanderturn.command;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Stream;
import org.oleanderturn.model.Codec;
import org.oleanderturn.model.Configuration;
import org.oleanderturn.model.ConfigurationSnapshot;
import org.oleanderturn.model.DecodeFailure;
import org.oleanderturn.model.Organisation;
import org.oleanderturn.model.Route;
import org.oleanderturn.model.Service;
import org.oleanderturn.model.TrafficPolicy;

/**
 * Reads a configuration from declaration files: one file, or every {@code *.json} file in a folder.
 *
 * <p>Invariant: the result contains each object of each file exactly once, regardless of the order of the files; an object
 * declared twice is a failure. Stateless and thread safe.
 */
public final class DeclarationReader {
    private static final String FILE_SUFFIX = ".json";

    private DeclarationReader() {}

    /** The content of one declaration file; each list may be absent. */
    public record Declaration(
            Optional<List<Service>> services,
            Optional<List<Route>> routes,
            Optional<List<TrafficPolicy>> trafficPolicies,
            Optional<List<Organisation>> organisations) {}

    /** A declaration and the path of the file that contains it. */
    public record Source(String file, Declaration declaration) {}

    // -- core operations

    /** Returns the configuration declared in a file, or in all declaration files of a folder. */
    public static Either<CommandFailure, Configuration> read(Path path) {
        Objects.requireNonNull(path, "path is null");
        return listFiles(path).flatMap(DeclarationReader::readSources).flatMap(DeclarationReader::merge);
    }

    /** Returns the configuration of a saved {@link ConfigurationSnapshot}; any other file or folder is read as declarations. */
    public static Either<CommandFailure, Configuration> readSavedConfiguration(Path path) {
        Objects.requireNonNull(path, "path is null");
        if (Files.isDirectory(path)) {
            return read(path);
        }
        return readBytes(path)
                .flatMap(bytes -> Codec.json()
                        .decode(bytes, ConfigurationSnapshot.class)
                        .fold(failure -> read(path), snapshot -> verify(path, snapshot)));
    }

    /** Merges the declarations of several files into one configuration; fails on an object declared twice or null. */
    public static Either<CommandFailure, Configuration> merge(List<Source> sources) {
        Map<String, String> declaredIn = new HashMap<>();
        List<Service> services = new ArrayList<>();
        List<Route> routes = new ArrayList<>();
        List<TrafficPolicy> policies = new ArrayList<>();
        List<Organisation> organisations = new ArrayList<>();
        boolean areOrganisationsDeclared = false;
        for (Source source : sources) {
            Declaration declaration = source.declaration();
            Optional<CommandFailure> failure = add(
                            services, declaration.services(), "services/", Service::name, source, declaredIn)
                    .or(() -> add(routes, declaration.routes(), "routes/", Route::name, source, declaredIn))
                    .or(() -> add(
                            policies,
                            declaration.trafficPolicies(),
                            "trafficPolicies/",
                            TrafficPolicy::name,
                            source,
                            declaredIn))
                    .or(() -> add(
                            organisations,
                            declaration.organisations(),
                            "organisations/",
                            Organisation::name,
                            source,
                            declaredIn));
            areOrganisationsDeclared |= declaration.organisations().isPresent();
            if (failure.isPresent()) {
                return Either.left(failure.get());
            }
        }
        return Either.right(Configuration.of(services, routes, policies)
                .withOrganisations(areOrganisationsDeclared ? Optional.of(organisations) : Optional.empty()));
    }

    private static <T> Optional<CommandFailure> add(
            List<T> merged,
            Optional<List<T>> objects,
            String kind,
            Function<T, ?> name,
            Source source,
            Map<String, String> declaredIn) {
        for (T object : objects.orElse(List.of())) {
            if (object == null) {
                DecodeFailure failure = DecodeFailure.of(kind, "contains a null element");
                return Optional.of(new CommandFailure.MalformedFile(source.file(), failure));
            }
            String path = kind + name.apply(object);
            String earlier = declaredIn.putIfAbsent(path, source.file());
            if (earlier != null) {
                return Optional.of(new CommandFailure.DeclaredTwice(path, earlier, source.file()));
            }
            merged.add(object);
        }
        return Optional.empty();
    }

    // -- files

    private static Either<CommandFailure, List<Path>> listFiles(Path path) {
        if (!Files.isDirectory(path)) {
            return Either.right(List.of(path));
        }
        try (Stream<Path> entries = Files.list(path)) {
            List<Path> files = entries.filter(
                            entry -> entry.getFileName().toString().endsWith(FILE_SUFFIX))
                    .sorted()
                    .toList();
            if (files.isEmpty()) {
                return Either.left(new CommandFailure.NoDeclaration(path.toString()));
            }
            return Either.right(files);
        } catch (IOException cause) {
            return Either.left(new CommandFailure.UnreadableFile(path.toString(), TextFormatter.reasonOf(cause)));
        }
    }

    private static Either<CommandFailure, List<Source>> readSources(List<Path> files) {
        List<Source> sources = new ArrayList<>();
        for (Path file : files) {
            Either<CommandFailure, Declaration> declaration = readBytes(file).flatMap(bytes -> decode(file, bytes));
            if (declaration.isLeft()) {
                return Either.left(declaration.getLeft());
            }
            sources.add(new Source(file.toString(), declaration.get()));
        }
        return Either.right(List.copyOf(sources));
    }

    private static Either<CommandFailure, Declaration> decode(Path file, byte[] bytes) {
        return Codec.json()
                .decode(bytes, Declaration.class)
                .mapLeft(failure -> new CommandFailure.MalformedFile(file.toString(), failure));
    }

    private static Either<CommandFailure, byte[]> readBytes(Path file) {
        try {
            return Either.right(Files.readAllBytes(file));
        } catch (IOException cause) {
            return Either.left(new CommandFailure.UnreadableFile(file.toString(), TextFormatter.reasonOf(cause)));
        }
    }

    private static Either<CommandFailure, Configuration> verify(Path path, ConfigurationSnapshot snapshot) {
        if (!snapshot.isIntact()) {
            return Either.left(new CommandFailure.DamagedSnapshot(path.toString()));
        }
        return Either.right(snapshot.configuration());
    }
}
