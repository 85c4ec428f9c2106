/** A job that can never be done waits for workers with a label, and another job needs the same label. */
final class LabelledWorkersWithheld {
    private static final String RACK = "r1-4";
    private static final String LONG = "b000000000000001";
    private static final String HOPELESS = "dead000000000001";
    private static final String WAITING = "a000000000000001";

    public static void main(String[] arguments) {
        Case.run(arguments, LabelledWorkersWithheld::run);
    }

    private static String run(Lab lab, boolean hasTrouble) throws Exception {
        lab.addWorkers(32, 6);
        lab.startEntries(3);
        lab.submit(LONG, 2, "ms=100000", Lab.step(32, 2_800, 11_000, 1, 100_000));
        lab.await(LONG, 32);
        // A twentieth of the jobs of one kind can never be done: the rack has 6 workers.
        for (int i = 0; i < 20; i++) {
            boolean isHopeless = i == 10;
            if (isHopeless && !hasTrouble) continue;
            if (isHopeless) {
                lab.submit(HOPELESS, 1, "ms=8500", Lab.step(10, 13_000, 68_000, 8, 8_500, "gang", true, "constraints", RACK));
            } else {
                lab.submit(String.format("c%015x", i), 1, "ms=1500", Lab.step(1, 13_000, 68_000, 1, 1_500));
            }
        }
        Thread.sleep(2_000);
        lab.submit(WAITING, 2, "ms=7600", Lab.step(1, 2_800, 11_000, 1, 7_600, "constraints", RACK));
        double endOfTrafficS = lab.record.seconds();
        // Jobs are asked for 14 s after the end of the traffic.
        boolean hasRun = lab.longestIdle(WAITING, RACK, 0.5, endOfTrafficS + 14) < 3;
        double idleS = lab.longestIdle(WAITING, RACK, 0.5, endOfTrafficS + 14 + 30);
        String state = lab.call("GET", 2, WAITING, null);
        boolean isLost = !hasRun && idleS >= 3 && !state.contains("completed");
        return isLost ? String.format("nothing of %s ran for %.1f s after that beside free workers", WAITING, idleS) : null;
    }
}
