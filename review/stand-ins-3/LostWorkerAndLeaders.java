/** A worker with a lasting subtask loses power for good, and the process that leads is killed again and again. */
final class LostWorkerAndLeaders {
    private static final String LASTING = "1a57000000000003";
    private static final int KILLS = 6;
    private static final double BETWEEN_S = 8.2;
    private static final int DOWN_MS = 300;

    public static void main(String[] arguments) {
        Case.run(arguments, LostWorkerAndLeaders::run);
    }

    private static String run(Lab lab, boolean hasTrouble) throws Exception {
        lab.addWorkers(32, 6);
        lab.startEntries(3);
        lab.submit(LASTING, 2, "ms=0", Lab.step(1, 2_800, 11_000, 1, 0, "daemon", true));
        lab.await(LASTING, 1);
        Thread.sleep(3_000);
        double lostS = lab.record.seconds();
        if (hasTrouble) lab.workerOf(LASTING).losePower();
        double nextS = lostS + 4;
        int broken = 0;
        for (int kill = 0; kill < KILLS; kill++) {
            double idleS = lab.longestIdle(LASTING, "", 1.0, nextS);
            // Calm since the last process was started again: 7.9 s, of which the last 3 s count.
            if (kill > 0 && idleS >= BETWEEN_S - DOWN_MS / 1_000.0 - 0.2) broken++;
            if (lab.runningTasks(LASTING) > 0 && hasTrouble) break;
            nextS = lab.record.seconds() + BETWEEN_S;
            if (hasTrouble) lab.killLeader(DOWN_MS);
        }
        double ranS = lab.record.seconds();
        lab.record.line(String.format("%d times nothing of %s ran for 7 calm seconds; %.1f s since its worker was lost",
            broken, LASTING, ranS - lostS));
        return broken == 0 ? null : String.format("%d times nothing of %s ran for 7 calm seconds", broken, LASTING);
    }
}
