package org.oleanderturn.command;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.ChangeOutcome;
import org.oleanderturn.model.ChangeOutcome.Scope;
import org.oleanderturn.model.Codec;
import org.oleanderturn.model.Configuration;
import org.oleanderturn.model.ConfigurationSnapshot;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Digest;
import org.oleanderturn.model.EndpointState;
import org.oleanderturn.model.Locality;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.Proposal;
import org.oleanderturn.model.ProposalId;
import org.oleanderturn.model.ProxyStatus;
import org.oleanderturn.model.Refusal;
import org.oleanderturn.model.Service;
import org.oleanderturn.model.ServiceName;

class ProposeCommandTest {
    private static final String SUBMIT = "POST /v1/changes";
    private static final String QUERY_OUTCOME = "GET /v1/changes/change-1";
    private static final String PROXIES = "GET /v1/proxies";
    private static final ProposalId ID = ProposalId.of("change-1");
    private static final ConfigurationVersion VERSION = ConfigurationVersion.of(7);
    private static final ChangeOutcome ACCEPTED = new ChangeOutcome.Accepted(ID, VERSION, Digest.of("00"));
    private static final ChangeOutcome UNDETERMINED = new ChangeOutcome.Undetermined(ID, "store is slow", 500);
    private static final ChangeOutcome PLATFORM_UNAVAILABLE =
            new ChangeOutcome.Refused(ID, new Refusal.PlatformUnavailable("cut off", 1_000), Scope.ATTEMPT);
    private static final Configuration DECLARED =
            Configuration.of(List.of(Service.of("docs", 10, 120)), List.of(), List.of());

    private final FakeNode first = FakeNode.start();
    private final FakeNode second = FakeNode.start();

    @TempDir
    private Path folder;

    private Path file;

    @BeforeEach
    void declare() throws IOException {
        file = Files.write(folder.resolve("docs.json"), Codec.json().encode(DECLARED));
    }

    @AfterEach
    void close() {
        first.close();
        second.close();
    }

    @Test
    void shouldSubmitTheDeclarationsOnceWhenTheFirstNodeAccepts() {
        first.respondsTo(SUBMIT, ACCEPTED);

        CommandRun run = propose("--expect-version", "6", "--rebase");

        assertThat(run.code()).isEqualTo(0);
        assertThat(run.output()).contains("accepted change-1 as version 7");
        assertThat(second.requests()).isEmpty();
        Proposal sent = Codec.json()
                .decode(first.bodies().getFirst().getBytes(StandardCharsets.UTF_8), Proposal.class)
                .get();
        assertThat(sent).isEqualTo(new Proposal(ID, Optional.of(ConfigurationVersion.of(6)), true, DECLARED));
    }

    @Test
    void shouldReportNotRunWhenTheNodeRefusesAConflict() {
        Refusal conflict = new Refusal.VersionConflict(ConfigurationVersion.of(3), VERSION, List.of("services/docs"));
        first.respondsTo(SUBMIT, new ChangeOutcome.Refused(ID, conflict, Scope.ATTEMPT));

        CommandRun run = propose();

        assertThat(run.code()).isEqualTo(3);
        assertThat(run.output()).contains("not run");
        assertThat(second.requests()).isEmpty();
    }

    @Test
    void shouldTryTheNextNodeWhenOneCannotReachThePlatform() {
        first.respondsTo(SUBMIT, PLATFORM_UNAVAILABLE);
        second.respondsTo(SUBMIT, ACCEPTED);

        assertThat(propose().code()).isEqualTo(0);
    }

    @Test
    void shouldQueryTheOutcomeOnAnotherNodeWhenTheFirstIsUndetermined() {
        first.respondsTo(SUBMIT, UNDETERMINED).respondsTo(QUERY_OUTCOME, UNDETERMINED);
        second.respondsTo(QUERY_OUTCOME, ACCEPTED);

        CommandRun run = propose();

        assertThat(run.code()).isEqualTo(0);
        assertThat(second.requests()).containsExactly(QUERY_OUTCOME);
    }

    @Test
    void shouldStayUndeterminedWhenASecondNodeRefusesOnlyItsOwnAttempt() {
        first.dropsResponseTo(SUBMIT).dropsResponseTo(QUERY_OUTCOME);
        second.respondsTo(SUBMIT, PLATFORM_UNAVAILABLE)
                .respondsTo(QUERY_OUTCOME, new ChangeOutcome.NotRecorded(ID, VERSION));

        CommandRun run = propose();

        assertThat(run.code()).isEqualTo(4);
        assertThat(run.output()).contains("query change change-1");
        assertThat(first.requests().stream().filter(SUBMIT::equals).toList()).hasSize(1);
    }

    @Test
    void shouldBeUndeterminedWhenTheResponseIsMalformedOrForAnotherProposal() {
        for (String body : List.of("nonsense", "{\"type\":\"Accepted\"}", acceptanceOfOtherProposal())) {
            try (FakeNode node = FakeNode.start().respondsRawTo(SUBMIT, 200, body)) {
                CommandRun run = CommandRun.of(List.of(node), arguments());
                assertWithMessage(body).that(run.code()).isEqualTo(4);
            }
        }
    }

    @Test
    void shouldReportNotConnectedWhenNoNodeIsReachable() {
        first.close();
        second.close();

        CommandRun run = propose();

        assertThat(run.code()).isEqualTo(5);
        assertThat(run.errors()).contains("NotConnected");
    }

    @Test
    void shouldListTheProxiesThatDoNotHoldTheVersionWhenTheWaitTimesOut() {
        first.respondsTo(SUBMIT, ACCEPTED)
                .respondsTo(
                        PROXIES,
                        List.of(proxy("hobart-1", true, 7), proxy("hobart-2", true, 6), proxy("hobart-3", false, 6)));

        CommandRun run = propose("--wait", "--wait-timeout", "2000");

        assertThat(run.code()).isEqualTo(6);
        assertThat(run.output()).contains("behind: hobart-2");
        assertThat(run.output()).contains("unreachable: hobart-3");
        assertThat(run.output()).doesNotContain("behind: hobart-1");
    }

    @Test
    void shouldEndTheWaitWhenEveryReachableProxyHoldsTheVersion() {
        first.respondsTo(SUBMIT, ACCEPTED)
                .respondsTo(
                        PROXIES,
                        List.of(proxy("hobart-1", true, 6)),
                        List.of(proxy("hobart-1", true, 8), proxy("hobart-2", false, 6)));

        CommandRun run = propose("--wait");

        assertThat(run.code()).isEqualTo(0);
        assertThat(run.output()).contains("unreachable: hobart-2");
        assertThat(first.requests()).containsExactly(SUBMIT, PROXIES, PROXIES);
    }

    @Test
    void shouldReportNotInForceWhenNoNodeReportsWhichProxiesHoldTheVersion() {
        first.respondsTo(SUBMIT, ACCEPTED);

        assertThat(propose("--wait", "--wait-timeout", "1000").code()).isEqualTo(6);
    }

    @Test
    void shouldProposeASavedSnapshotAgainWhenItIsIntact() throws IOException {
        first.respondsTo(SUBMIT, ACCEPTED);
        Path saved = folder.resolve("saved.json");
        Files.write(saved, Codec.json().encode(ConfigurationSnapshot.of(ConfigurationVersion.of(3), DECLARED)));

        assertThat(restore(saved).code()).isEqualTo(0);
        assertThat(first.bodies().getFirst()).contains("\"docs\"");

        Files.write(saved, Codec.json().encode(new ConfigurationSnapshot(VERSION, DECLARED, Digest.of("00"))));

        assertThat(restore(saved).code()).isEqualTo(2);
        assertThat(first.requests()).hasSize(1);
    }

    private CommandRun propose(String... options) {
        List<String> commandLine = new ArrayList<>(List.of(arguments()));
        commandLine.addAll(List.of(options));
        return CommandRun.of(List.of(first, second), commandLine.toArray(String[]::new));
    }

    private CommandRun restore(Path saved) {
        return CommandRun.of(List.of(first), "command", "restore", saved.toString(), "--id", "change-1");
    }

    private String[] arguments() {
        return new String[] {"command", "propose", file.toString(), "--id", "change-1"};
    }

    private static String acceptanceOfOtherProposal() {
        return Codec.json().encodeText(new ChangeOutcome.Accepted(ProposalId.of("change-2"), VERSION, Digest.of("00")));
    }

    private static ProxyStatus proxy(String node, boolean isReachable, long version) {
        return new ProxyStatus(
                NodeId.of(node),
                Address.of("127.0.0.1", 22_001),
                Locality.of("south", "hobart"),
                ServiceName.of("docs"),
                EndpointState.READY,
                isReachable,
                ConfigurationVersion.of(version),
                0);
    }
}
