package org.oleanderturn.mesh;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.oleanderturn.model.Locality;
import org.oleanderturn.model.PlacementExplanation;
import org.oleanderturn.model.PlacementExplanation.Candidate;
import org.oleanderturn.model.PlacementExplanation.Standing;
import org.oleanderturn.model.PlacementQuestion;

final class PlacementExplainerTest {
    private static final PlacementQuestion QUESTION =
            new PlacementQuestion("GET", "host.example", "/a/1", Optional.empty());

    private final EntryFixture fixture = new EntryFixture();

    @AfterEach
    void close() {
        fixture.close();
    }

    /** An explanation that sent the request, or that named other targets than the entry chooses, would mislead. */
    @Test
    void shouldNameTheTargetThatTheEntryChoosesAndSendNothing() {
        fixture.addGuard(EntryFixture.ran(200, "")).addGuard(EntryFixture.ran(200, ""));
        List<Candidate> candidates = candidates();
        assertThat(candidates.getFirst().node().value()).isEqualTo("node-0");
        assertThat(candidates.getFirst().distance()).isEqualTo(Locality.Distance.SAME_ZONE);
        assertThat(candidates.getFirst().load().orElseThrow().slots()).isEqualTo(9);
        int draws = routed().services().getFirst().draws();
        assertThat(candidates.stream().mapToInt(Candidate::chosen).sum()).isEqualTo(draws);
        assertThat(candidates.getFirst().chosen()).isEqualTo(draws);
        assertThat(fixture.requestCount(0) + fixture.requestCount(1)).isEqualTo(0);
        assertThat(fixture.decisions).isEmpty();
    }

    /** Operators ask because a target gets nothing; a target that is passed over has to say why. */
    @Test
    void shouldSayWhyATargetIsNotChosen() {
        fixture.addGuard(EntryFixture.ran(200, "")).addGuard(EntryFixture.ran(200, ""));
        fixture.drain(0);
        List<Candidate> candidates = candidates();
        assertThat(candidates.getFirst().node().value()).isEqualTo("node-1");
        assertThat(candidates.getLast().standing()).isEqualTo(Standing.NOT_READY);
        assertThat(candidates.getLast().chosen()).isEqualTo(0);
    }

    @Test
    void shouldSayWhyTheRequestWouldBeRefused() {
        assertThat(fixture.explainer()
                        .explain(new PlacementQuestion("GET", "host.example", "/other", Optional.empty())))
                .isEqualTo(new PlacementExplanation.Refused(routed().version(), 404, "NO_ROUTE"));
        fixture.isReady = false;
        assertThat(fixture.explainer().explain(QUESTION)).isInstanceOf(PlacementExplanation.Refused.class);
    }

    private PlacementExplanation.Routed routed() {
        return (PlacementExplanation.Routed) fixture.explainer().explain(QUESTION);
    }

    private List<Candidate> candidates() {
        return routed().services().getFirst().candidates();
    }
}
