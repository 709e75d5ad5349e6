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
import org.oleanderturn.model.Route;
import org.oleanderturn.model.Service;
import org.oleanderturn.model.TrafficPolicy;

/**
 * Reads a configuration from declarations: one file, or every {@code *.json} file of one folder.
 *
 * <p>Invariant: the result holds each object of each file exactly once, whatever the order of the files; an object
 * declared twice is a failure. Stateless and thread safe.
 */
public final class DeclarationFolder {
    private static final String SUFFIX = ".json";

    private DeclarationFolder() {}

    /** The content of one file; each part may be left out. */
    public record Declaration(
            Optional<List<Service>> services,
            Optional<List<Route>> routes,
            Optional<List<TrafficPolicy>> trafficPolicies) {}

    /** A declaration and the file that it stands in. */
    public record Source(String file, Declaration declaration) {}

    // -- core operations

    /** Reads a file or a folder. */
    public static Either<CommandFailure, Configuration> read(Path path) {
        Objects.requireNonNull(path, "path is null");
        return files(path).flatMap(DeclarationFolder::sources).flatMap(DeclarationFolder::merge);
    }

    /** Reads a file that holds a saved {@link ConfigurationSnapshot}, or else declarations. */
    public static Either<CommandFailure, Configuration> readSaved(Path path) {
        Objects.requireNonNull(path, "path is null");
        if (Files.isDirectory(path)) {
            return read(path);
        }
        return content(path)
                .flatMap(bytes -> Codec.json()
                        .decode(bytes, ConfigurationSnapshot.class)
                        .fold(failure -> read(path), snapshot -> intact(path, snapshot)));
    }

    /** Joins the declarations of several files into one configuration. */
    public static Either<CommandFailure, Configuration> merge(List<Source> sources) {
        Map<String, String> declaredIn = new HashMap<>();
        List<Service> services = new ArrayList<>();
        List<Route> routes = new ArrayList<>();
        List<TrafficPolicy> policies = new ArrayList<>();
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
                            declaredIn));
            if (failure.isPresent()) {
                return Either.left(failure.get());
            }
        }
        return Either.right(Configuration.of(services, routes, policies));
    }

    private static <T> Optional<CommandFailure> add(
            List<T> all,
            Optional<List<T>> objects,
            String sort,
            Function<T, ?> name,
            Source source,
            Map<String, String> declaredIn) {
        for (T object : objects.orElse(List.of())) {
            if (object == null) {
                DecodeFailure failure = DecodeFailure.of(sort, "an element is null");
                return Optional.of(new CommandFailure.MalformedFile(source.file(), failure));
            }
            String path = sort + name.apply(object);
            String earlier = declaredIn.putIfAbsent(path, source.file());
            if (earlier != null) {
                return Optional.of(new CommandFailure.DeclaredTwice(path, earlier, source.file()));
            }
            all.add(object);
        }
        return Optional.empty();
    }

    // -- files

    private static Either<CommandFailure, List<Path>> files(Path path) {
        if (!Files.isDirectory(path)) {
            return Either.right(List.of(path));
        }
        try (Stream<Path> entries = Files.list(path)) {
            List<Path> files = entries.filter(
                            entry -> entry.getFileName().toString().endsWith(SUFFIX))
                    .sorted()
                    .toList();
            if (files.isEmpty()) {
                return Either.left(new CommandFailure.NoDeclaration(path.toString()));
            }
            return Either.right(files);
        } catch (IOException cause) {
            return Either.left(new CommandFailure.UnreadableFile(path.toString(), Texts.reasonOf(cause)));
        }
    }

    private static Either<CommandFailure, List<Source>> sources(List<Path> files) {
        List<Source> sources = new ArrayList<>();
        for (Path file : files) {
            Either<CommandFailure, Declaration> declaration = content(file).flatMap(bytes -> declaration(file, bytes));
            if (declaration.isLeft()) {
                return Either.left(declaration.getLeft());
            }
            sources.add(new Source(file.toString(), declaration.get()));
        }
        return Either.right(List.copyOf(sources));
    }

    private static Either<CommandFailure, Declaration> declaration(Path file, byte[] bytes) {
        return Codec.json()
                .decode(bytes, Declaration.class)
                .mapLeft(failure -> new CommandFailure.MalformedFile(file.toString(), failure));
    }

    private static Either<CommandFailure, byte[]> content(Path file) {
        try {
            return Either.right(Files.readAllBytes(file));
        } catch (IOException cause) {
            return Either.left(new CommandFailure.UnreadableFile(file.toString(), Texts.reasonOf(cause)));
        }
    }

    private static Either<CommandFailure, Configuration> intact(Path path, ConfigurationSnapshot snapshot) {
        if (!snapshot.isIntact()) {
            return Either.left(new CommandFailure.DamagedSnapshot(path.toString()));
        }
        return Either.right(snapshot.configuration());
    }
}
