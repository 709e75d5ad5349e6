package org.oleanderturn.command;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.oleanderturn.model.PlacementExplanation;
import org.oleanderturn.model.PlacementExplanation.Candidate;
import org.oleanderturn.model.PlacementExplanation.LimitState;
import org.oleanderturn.model.PlacementExplanation.ReportedLoad;
import org.oleanderturn.model.PlacementExplanation.ServicePlacement;

/** Formats the explanation of a placement as text for people. Stateless and thread safe. */
final class PlacementFormatter {
    private static final String UNKNOWN = "-";

    private PlacementFormatter() {}

    static String format(PlacementExplanation explanation) {
        return switch (explanation) {
            case PlacementExplanation.Refused refused ->
                "refused by version %s: %d %s".formatted(refused.version(), refused.status(), refused.reason());
            case PlacementExplanation.Routed routed -> format(routed);
        };
    }

    private static String format(PlacementExplanation.Routed routed) {
        List<String> lines = new ArrayList<>();
        lines.add("route %s (%s) by version %s, %s, rank %d"
                .formatted(
                        routed.route(),
                        routed.kind(),
                        routed.version(),
                        routed.organisation()
                                .map(name -> "organisation " + name)
                                .orElse("no organisation"),
                        routed.rank()));
        routed.limit().ifPresent(limit -> lines.add(format(limit)));
        lines.add("at most %d attempts in %d ms; placement %s, about %d bytes"
                .formatted(
                        routed.maximumAttempts(),
                        routed.timeoutMilliseconds(),
                        routed.placement(),
                        routed.expectedBytes()));
        routed.services().forEach(service -> lines.add(format(service)));
        return String.join(System.lineSeparator(), lines);
    }

    private static String format(LimitState limit) {
        String next = limit.refusedForMilliseconds()
                .map("refused without asking for another %d ms"::formatted)
                .orElseGet(() -> "asks " + limit.holder() + " for further ones");
        return "limit %s requests per second at all nodes; %d tokens at this node, %s"
                .formatted(limit.requestsPerSecond(), limit.tokens(), next);
    }

    private static String format(ServicePlacement service) {
        String heading = "service %s, weight %d; targets by their share of %d choices"
                .formatted(service.service(), service.weight(), service.draws());
        TextTable table = TextTable.of(
                "NODE", "CHOSEN", "DISTANCE", "STANDING", "RUNNING", "WAITING", "SLOTS", "SLOWNESS_%", "AGE_MS", "OWN");
        for (Candidate candidate : service.candidates()) {
            table = table.withRow(
                    candidate.node(),
                    "%d%%".formatted(Math.round(100.0 * candidate.chosen() / service.draws())),
                    candidate.distance(),
                    candidate.standing(),
                    loadField(candidate, ReportedLoad::running),
                    loadField(candidate, ReportedLoad::waiting),
                    loadField(candidate, ReportedLoad::slots),
                    loadField(candidate, ReportedLoad::slowness),
                    loadField(candidate, ReportedLoad::ageMilliseconds),
                    candidate.unanswered());
        }
        return heading + System.lineSeparator() + table;
    }

    private static String loadField(Candidate candidate, Function<ReportedLoad, Number> field) {
        return candidate.load().map(field).map(String::valueOf).orElse(UNKNOWN);
    }
}
