/** A lasting subtask loses its worker on a busy service, of which accelerators are kept free for urgent work. */
final class LastingTaskBehindReserve {
    private static final String LASTING = "1a57000000000001";
    private static final int ROUNDS = 6;

    public static void main(String[] arguments) {
        Case.run(arguments, LastingTaskBehindReserve::run);
    }

    private static String run(Lab lab, boolean hasTrouble) throws Exception {
        lab.addWorkers(32, 6);
        lab.startEntries(3);
        lab.submit(LASTING, 2, "ms=0", Lab.step(1, 2_800, 11_000, 1, 0, "daemon", true));
        lab.await(LASTING, 1);
        // Three of the largest routine jobs fill the service, and some of their subtasks wait.
        for (int i = 0; i < 3; i++) {
            lab.submit(String.format("b%015x", i), 2, "ms=100000", Lab.step(94, 2_800, 11_000, 1, 100_000));
        }
        Thread.sleep(2_000);
        Thread urgent = new Thread(() -> submitUrgent(lab));
        urgent.setDaemon(true);
        urgent.start();
        Thread.sleep(4_000);
        double beganS = lab.record.seconds();
        if (hasTrouble) lab.workerOf(LASTING).drainAndLeave(3_000);
        else Thread.sleep(3_000);
        // From 6 s after the last run, and 3 s at a time: what is counted begins at the earliest 6 s after the worker has left.
        lab.longestIdle(LASTING, "", 1.0, beganS + 3 + 6);
        double idleS = lab.longestIdle(LASTING, "", 1.0, beganS + 3 + 6 + 35);
        return idleS >= 3 ? String.format("%s didn't run for %.1f s beside free accelerators", LASTING, idleS) : null;
    }

    /** Hands in urgent work at a third of its usual rate: 3 jobs of 3 subtasks at once, each 10 s. */
    private static void submitUrgent(Lab lab) {
        try {
            for (int round = 0; round < ROUNDS; round++) {
                for (int i = 0; i < 3; i++) {
                    lab.submit(String.format("a%014x%x", round, i), 0, "ms=2500", Lab.step(3, 3_700, 15_000, 4, 2_500));
                }
                Thread.sleep(10_000);
            }
        } catch (Exception e) {
            lab.record.line("urgent work ends: " + e);
        }
    }
}
