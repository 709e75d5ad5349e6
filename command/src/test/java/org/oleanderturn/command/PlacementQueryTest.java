package org.oleanderturn.command;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.oleanderturn.model.Codec;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.KeyDigest;
import org.oleanderturn.model.Locality;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.OrganisationName;
import org.oleanderturn.model.PlacementExplanation;
import org.oleanderturn.model.PlacementExplanation.Candidate;
import org.oleanderturn.model.PlacementExplanation.LimitState;
import org.oleanderturn.model.PlacementExplanation.ReportedLoad;
import org.oleanderturn.model.PlacementExplanation.ServicePlacement;
import org.oleanderturn.model.PlacementExplanation.Standing;
import org.oleanderturn.model.PlacementQuestion;
import org.oleanderturn.model.RequestKind;
import org.oleanderturn.model.RouteName;
import org.oleanderturn.model.ServiceName;

final class PlacementQueryTest {
    private static final String PLACEMENT = "POST /v1/placement";
    private static final PlacementExplanation ROUTED = new PlacementExplanation.Routed(
            ConfigurationVersion.of(42),
            RouteName.of("balance"),
            RequestKind.LOOKUP,
            Optional.of(OrganisationName.of("acme")),
            Optional.of(new LimitState(4.5, 2, NodeId.of("hobart-3"), Optional.empty())),
            1,
            900,
            3,
            "EVEN_LOAD",
            400,
            List.of(new ServicePlacement(
                    ServiceName.of("ledger"),
                    1,
                    400,
                    List.of(
                            new Candidate(
                                    NodeId.of("hobart-1"),
                                    Locality.Distance.SAME_ZONE,
                                    Standing.ELIGIBLE,
                                    Optional.of(new ReportedLoad(2, 0, 6, 35, 83)),
                                    1,
                                    300),
                            new Candidate(
                                    NodeId.of("hobart-2"),
                                    Locality.Distance.SAME_REGION,
                                    Standing.LEAVING,
                                    Optional.empty(),
                                    0,
                                    0)))));

    private final FakeNode node = FakeNode.start();

    @TempDir
    private Path folder;

    @AfterEach
    void close() {
        node.close();
    }

    @Test
    void shouldShowTheTargetsWithTheirReasons() {
        node.respondsTo(PLACEMENT, ROUTED);
        CommandRun run = CommandRun.of(List.of(node), "query", "placement", "--host", "ledger", "--path", "/balance/7");
        assertThat(run.errors()).isEmpty();
        assertThat(run.code()).isEqualTo(0);
        assertThat(run.output()).contains("route balance (LOOKUP) by version 42, organisation acme, rank 1");
        assertThat(run.output()).contains("2 tokens at this node, asks hobart-3 for further ones");
        assertThat(run.output()).containsMatch("hobart-1 +75% +SAME_ZONE +ELIGIBLE +2 +0 +6 +35 +83 +1");
        assertThat(run.output()).containsMatch("hobart-2 +0% +SAME_REGION +LEAVING +- +- +- +- +- +0");
    }

    /** A key on a command line or in a node's input could end in a process list or a log. */
    @Test
    void shouldSendTheDigestOfAKeyAndNotTheKey() throws IOException {
        Path file = Files.writeString(folder.resolve("key"), "secret-key\n");
        node.respondsTo(PLACEMENT, new PlacementExplanation.Refused(ConfigurationVersion.of(42), 401, "UNKNOWN_KEY"));
        CommandRun run = CommandRun.of(
                List.of(node), "query", "placement", "--host", "ledger", "--path", "/a", "--key-file", file.toString());
        assertThat(run.output()).contains("refused by version 42: 401 UNKNOWN_KEY");
        PlacementQuestion question = Codec.json()
                .decode(node.bodies().getFirst().getBytes(StandardCharsets.UTF_8), PlacementQuestion.class)
                .get();
        assertThat(question.key()).isEqualTo(Optional.of(KeyDigest.ofKey("secret-key")));
        assertThat(node.bodies().getFirst()).doesNotContain("secret-key");
    }

    @Test
    void shouldReportAKeyFileThatCannotBeRead() {
        CommandRun run = CommandRun.of(
                List.of(node), "query", "placement", "--host", "ledger", "--path", "/a", "--key-file", "no-such-file");
        assertThat(run.code()).isEqualTo(2);
        assertThat(run.errors()).contains("UnreadableFile");
        assertThat(node.requests()).isEmpty();
    }
}
