package org.oleanderturn.node;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;
import org.oleanderturn.mesh.Decision;
import org.oleanderturn.mesh.GuardReply;
import org.oleanderturn.model.Locality;
import org.oleanderturn.model.NodeId;

/** Metrics of the targets that an entry chooses. Thread safe. */
final class PlacementMetrics {
    private static final double MILLISECONDS_PER_SECOND = 1e3;

    private final Histogram loadAge;
    private final Counter choices;
    private final Counter refusedAsFull;
    private final Function<NodeId, Optional<Locality.Distance>> distances;

    private PlacementMetrics(NodeMetrics metrics, Function<NodeId, Optional<Locality.Distance>> distances) {
        this.distances = distances;
        this.loadAge = MeshMetrics.histogram(
                metrics,
                "oleanderturn_choice_load_age_seconds",
                "Age of the chosen target's load report when it was chosen.");
        this.choices = Counter.builder()
                .name("oleanderturn_choices_total")
                .help("Attempts by the distance of the chosen target.")
                .labelNames("distance")
                .register(metrics.registry());
        this.refusedAsFull = Counter.builder()
                .name("oleanderturn_refused_as_full_total")
                .help("Attempts that a guard refused for lack of room.")
                .register(metrics.registry());
    }

    /** Returns metrics that are registered with those of the node; {@code distances} knows the nodes. */
    static PlacementMetrics of(NodeMetrics metrics, Function<NodeId, Optional<Locality.Distance>> distances) {
        Objects.requireNonNull(metrics, "metrics is null");
        Objects.requireNonNull(distances, "distances is null");
        return new PlacementMetrics(metrics, distances);
    }

    void record(Decision.Placed placed) {
        if (placed.report().isPresent()) {
            loadAge.observe(placed.reportAgeMilliseconds() / MILLISECONDS_PER_SECOND);
        }
        String distance = distances
                .apply(placed.node())
                .map(known -> known.name().toLowerCase(Locale.ROOT))
                .orElse("unknown");
        choices.labelValues(distance).inc();
    }

    void record(Decision.AttemptFailed failed) {
        if (failed.reply() instanceof GuardReply.NotRun notRun && notRun.isForLackOfRoom()) {
            refusedAsFull.inc();
        }
    }
}
