/** A lasting subtask with a target loses its worker while subtasks that fill run on all others. */
final class ServingTaskHasNoPlace {
    private static final String SERVING = "5e00000000000001";
    private static final String FILLING = "f100000000000001";
    private static final int WORKERS = 32;

    public static void main(String[] arguments) {
        Case.run(arguments, ServingTaskHasNoPlace::run);
    }

    private static String run(Lab lab, boolean hasTrouble) throws Exception {
        lab.addWorkers(WORKERS, 6);
        lab.startEntries(3);
        lab.submit(SERVING, 0, "ms=0",
            Lab.step(1, 3_700, 15_000, 1, 0, "daemon", true, "image", "tally", "targetMs", 200));
        lab.await(SERVING, 1);
        lab.submit(FILLING, 2, "ms=0",
            Lab.step(WORKERS - 1, 2_800, 11_000, 1, 0, "daemon", true, "image", "count", "fills", true, "antiAffinity", 1));
        lab.await(FILLING, WORKERS - 1);
        double beganS = lab.record.seconds();
        if (hasTrouble) lab.workerOf(SERVING).drainAndLeave(3_000);
        else Thread.sleep(3_000);
        // The rule holds from 6 s after the last run; 3 s at a time, after 4 calm ones.
        double idleS = lab.longestIdle(SERVING, "", 1.0, beganS + 3 + 30);
        lab.call("GET", 0, SERVING, null);
        return idleS >= 9 ? String.format("nothing of %s ran for %.1f s beside free workers", SERVING, idleS) : null;
    }
}
