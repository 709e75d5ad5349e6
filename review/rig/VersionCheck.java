import java.util.function.Predicate;

/** Judges whether a new version is in force in time: the rule CONFIG, for lookups that it moves to another service. Stateless. */
final class VersionCheck {
    private static final int APPLY_MILLISECONDS = 2_000;

    private VersionCheck() {}

    /** Returns whether machines in touch sent lookups to the old service too late after the version was taken. */
    static int judge(Deployment deployment, Record record, long acknowledged, Predicate<Machine> isInTouch) {
        long late = 0;
        long last = 0;
        for (Upstream upstream : deployment.upstreams) {
            for (Upstream.Run run : upstream.runs) {
                Deployment.Sent sent = deployment.sent.get(run.attempt());
                boolean isOld = run.path().startsWith("/stock/")
                        && upstream.service.equals(Deployment.SERVICE)
                        && sent.milliseconds() > acknowledged + APPLY_MILLISECONDS;
                if (isOld && isInTouch.test(sent.machine())) {
                    late++;
                    last = Math.max(last, sent.milliseconds() - acknowledged);
                    record.line("late: %s from %s ran at %s", run.attempt(), sent.machine().name(), upstream.id);
                }
            }
        }
        record.show(
                "%d requests of machines in touch ran at the old service, sent later than %d ms after the version; the"
                        + " last of them was sent %d ms after it",
                late, APPLY_MILLISECONDS, last);
        return late > 0 ? Case.BROKEN : Case.HELD;
    }
}
