package org.oleanderturn.command;

import java.io.IOException;
import java.nio.file.NoSuchFileException;
import java.util.List;
import java.util.stream.Collectors;
import org.oleanderturn.model.ChangeOutcome;
import org.oleanderturn.model.ConfigurationFault;
import org.oleanderturn.model.ConfigurationSnapshot;
import org.oleanderturn.model.DecodeFailure;
import org.oleanderturn.model.DrainOutcome;
import org.oleanderturn.model.Endpoint;
import org.oleanderturn.model.ProxyStatus;
import org.oleanderturn.model.Refusal;
import org.oleanderturn.model.Route;
import org.oleanderturn.model.RoutingTable;
import org.oleanderturn.model.Service;
import org.oleanderturn.model.TrafficPolicy;

/** Formats the model's values as text for people. Stateless and thread safe. */
final class TextFormatter {
    private TextFormatter() {}

    // -- outcomes

    static String format(ChangeOutcome outcome) {
        return switch (outcome) {
            case ChangeOutcome.Accepted accepted ->
                "accepted %s as version %s".formatted(accepted.id(), accepted.version());
            case ChangeOutcome.Refused refused -> format(refused);
            case ChangeOutcome.Undetermined undetermined ->
                "undetermined %s: %s%s%ncheck later with: oleanderturn query change %s"
                        .formatted(
                                undetermined.id(),
                                undetermined.reason(),
                                formatRetryDelay(undetermined.retryAfterMilliseconds()),
                                undetermined.id());
            case ChangeOutcome.NotRecorded notRecorded ->
                "not recorded %s: it has not run so far (outcomes have been recorded since version %s)"
                        .formatted(notRecorded.id(), notRecorded.recordedSince());
        };
    }

    private static String format(ChangeOutcome.Refused refused) {
        String text = "refused %s, not run: %s".formatted(refused.id(), format(refused.refusal()));
        if (refused.scope() == ChangeOutcome.Scope.PROPOSAL) {
            return text;
        }
        return text + System.lineSeparator()
                + "this applies to this submission only; an earlier one with the same id may have run";
    }

    static String format(Refusal refusal) {
        return switch (refusal) {
            case Refusal.Invalid invalid -> "Invalid" + System.lineSeparator() + formatFaults(invalid.faults());
            case Refusal.VersionConflict conflict ->
                "VersionConflict: expected version %s, but version %s is in force; changed since: %s"
                        .formatted(conflict.expected(), conflict.current(), String.join(", ", conflict.paths()));
            case Refusal.IdReused reused -> "IdReused: the id was already used for another configuration";
            case Refusal.PlatformUnavailable unavailable ->
                "PlatformUnavailable: " + unavailable.reason() + formatRetryDelay(unavailable.retryAfterMilliseconds());
            case Refusal.Fenced fenced -> "Fenced: a later write prevents this one from ever taking effect";
            case Refusal.Contention contention ->
                "Contention: too many concurrent changes" + formatRetryDelay(contention.retryAfterMilliseconds());
        };
    }

    static String format(DrainOutcome outcome) {
        return switch (outcome) {
            case DrainOutcome.Applied applied -> "applied: %s is %s".formatted(applied.node(), applied.state());
            case DrainOutcome.UnknownNode unknown -> "refused, not run: node %s is unknown".formatted(unknown.node());
            case DrainOutcome.Unreachable unreachable ->
                "unreachable, nothing was changed: %s: %s".formatted(unreachable.node(), unreachable.reason());
            case DrainOutcome.Undetermined undetermined ->
                "undetermined: %s: %s; the command can safely be repeated"
                        .formatted(undetermined.node(), undetermined.reason());
        };
    }

    private static String formatRetryDelay(long milliseconds) {
        return milliseconds > 0 ? "; retry in " + milliseconds + " ms" : "";
    }

    // -- faults

    static String formatFaults(List<ConfigurationFault> faults) {
        return faults.stream().map(TextFormatter::format).collect(Collectors.joining(System.lineSeparator()));
    }

    static String format(ConfigurationFault fault) {
        String detail = switch (fault) {
            case ConfigurationFault.DuplicateName duplicate -> "DuplicateName";
            case ConfigurationFault.UnknownService unknown -> "UnknownService " + unknown.service();
            case ConfigurationFault.UnknownTrafficPolicy unknown -> "UnknownTrafficPolicy " + unknown.trafficPolicy();
            case ConfigurationFault.MalformedPrefix malformed -> "MalformedPrefix \"" + malformed.prefix() + "\"";
            case ConfigurationFault.MalformedMethods malformed -> "MalformedMethods";
            case ConfigurationFault.ShadowedRoute shadowed -> "ShadowedRoute by " + shadowed.by();
            case ConfigurationFault.SharedKey shared -> "SharedKey with " + shared.other();
            case ConfigurationFault.MethodUnfitForKind unfit ->
                "MethodUnfitForKind " + unfit.method() + " " + unfit.kind();
            case ConfigurationFault.OutOfRange range ->
                "OutOfRange %s: found %d, expected %d to %d"
                        .formatted(range.field(), range.found(), range.lowest(), range.highest());
            case ConfigurationFault.TooLarge large ->
                "TooLarge: found %d bytes, expected at most %d".formatted(large.found(), large.highest());
        };
        return "  " + fault.path() + ": " + detail;
    }

    static String format(DecodeFailure failure) {
        return failure.path().isEmpty() ? failure.reason() : failure.path() + ": " + failure.reason();
    }

    static String reasonOf(IOException cause) {
        if (cause instanceof NoSuchFileException) {
            return "no such file";
        }
        return cause.getMessage() == null ? cause.getClass().getSimpleName() : cause.getMessage();
    }

    // -- query results

    static String formatProxies(ProxyStatus[] proxies) {
        TextTable table = TextTable.of("NODE", "REGION", "ZONE", "SERVICE", "STATE", "REACHABLE", "VERSION", "LAG");
        for (ProxyStatus proxy : proxies) {
            table = table.withRow(
                    proxy.node(),
                    proxy.locality().region(),
                    proxy.locality().zone(),
                    proxy.service(),
                    proxy.state(),
                    proxy.isReachable() ? "yes" : "no",
                    proxy.version(),
                    proxy.lag());
        }
        return table.toString();
    }

    static String formatEndpoints(Endpoint[] endpoints) {
        TextTable table = TextTable.of("NODE", "ADDRESS", "REGION", "ZONE", "SERVICE", "SLOTS", "STATE");
        for (Endpoint endpoint : endpoints) {
            table = table.withRow(
                    endpoint.node(),
                    endpoint.address(),
                    endpoint.locality().region(),
                    endpoint.locality().zone(),
                    endpoint.service(),
                    endpoint.slots(),
                    endpoint.state());
        }
        return table.toString();
    }

    static String formatRoutes(RoutingTable.Entry[] entries) {
        TextTable table = TextTable.of("ROUTE", "PREFIX", "METHODS", "KIND", "SERVICE", "POLICY", "READY");
        for (RoutingTable.Entry entry : entries) {
            Route route = entry.route();
            long ready = entry.endpoints().stream().filter(Endpoint::isReady).count();
            table = table.withRow(
                    route.name(),
                    route.pathPrefix(),
                    String.join(",", route.methods()),
                    route.kind(),
                    route.service(),
                    route.trafficPolicy(),
                    ready + "/" + entry.endpoints().size());
        }
        return table.toString();
    }

    static String formatConfiguration(ConfigurationSnapshot snapshot) {
        TextTable services = TextTable.of("SERVICE", "SLOTS", "CONNECTIONS");
        for (Service service : snapshot.configuration().services()) {
            services = services.withRow(service.name(), service.slots(), service.connections());
        }
        TextTable routes = TextTable.of("ROUTE", "PREFIX", "METHODS", "KIND", "SERVICE", "POLICY");
        for (Route route : snapshot.configuration().routes()) {
            routes = routes.withRow(
                    route.name(),
                    route.pathPrefix(),
                    String.join(",", route.methods()),
                    route.kind(),
                    route.service(),
                    route.trafficPolicy());
        }
        String heading = "version " + snapshot.version() + ", digest " + snapshot.digest();
        String newline = System.lineSeparator();
        return String.join(
                newline, heading, "", services.toString(), "", routes.toString(), "", formatTrafficPolicies(snapshot));
    }

    private static String formatTrafficPolicies(ConfigurationSnapshot snapshot) {
        TextTable table =
                TextTable.of("POLICY", "TIMEOUT_MS", "ATTEMPTS", "RETRY_%", "HEDGE_PCT", "HEDGE_%", "QUEUE", "SHORT_%");
        for (TrafficPolicy policy : snapshot.configuration().trafficPolicies()) {
            table = table.withRow(
                    policy.name(),
                    policy.timeoutMilliseconds(),
                    policy.maximumAttempts(),
                    policy.retryBudgetPercent(),
                    policy.hedgePercentile(),
                    policy.hedgeBudgetPercent(),
                    policy.queueLimit(),
                    policy.reservedShortPercent());
        }
        return table.toString();
    }
}
