/** A lasting subtask that needs advice loses its worker while steps of the same queue wait for room. */
final class AdviceBehindWaitingSteps {
    private static final String LASTING = "1a57000000000002";
    private static final int WAITING_JOBS = 26;

    public static void main(String[] arguments) {
        Case.run(arguments, AdviceBehindWaitingSteps::run);
    }

    private static String run(Lab lab, boolean hasTrouble) throws Exception {
        lab.addWorkers(32, 6);
        lab.startEntries(3);
        lab.submit(LASTING, Lab.ADVISED, "ms=0", Lab.step(1, 2_800, 11_000, 1, 0, "daemon", true));
        lab.await(LASTING, 1);
        // Long work leaves 2 GPUs of each worker free.
        lab.submit("b000000000000001", 2, "ms=100000", Lab.step(32, 13_000, 11_000, 6, 100_000, "antiAffinity", 1));
        lab.await("b000000000000001", 32);
        for (int i = 0; i < WAITING_JOBS; i++) {
            lab.submit(String.format("c%015x", i), Lab.ADVISED, "ms=8500", Lab.step(1, 13_000, 68_000, 8, 8_500));
        }
        Thread.sleep(4_000);
        double beganS = lab.record.seconds();
        if (hasTrouble) lab.workerOf(LASTING).drainAndLeave(3_000);
        else Thread.sleep(3_000);
        double idleS = lab.longestIdle(LASTING, "", 1.0, beganS + 3 + 40);
        return idleS >= 9 ? String.format("%s didn't run for %.1f s beside free accelerators", LASTING, idleS) : null;
    }
}
