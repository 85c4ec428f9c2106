import java.util.HashSet;
import java.util.Set;

/** A draining worker is cut off from the store, and the store drops its history shortly before the worker's entry expires. */
final class DrainingWorkerCutFromStore {
    private static final String JOB = "70000000000000a1";
    private static final int WORK_MS = 11_000;
    private static final int CUT_MS = 5_000;

    public static void main(String[] arguments) {
        Case.run(arguments, DrainingWorkerCutFromStore::run);
    }

    private static String run(Lab lab, boolean hasTrouble) throws Exception {
        lab.addWorkers(32, 6);
        lab.startEntries(3);
        // The owner has followed the directory for some time.
        Thread.sleep(8_000);
        lab.submit(JOB, 1, "ms=" + WORK_MS, Lab.step(1, 13_000, 68_000, 1, WORK_MS));
        lab.await(JOB, 1);
        Thread.sleep(1_000);
        Worker worker = lab.workerOf(JOB);
        worker.drain(WORK_MS + 3_000);
        Thread.sleep(500);
        double cutS = lab.record.seconds();
        worker.isCutFromStore = hasTrouble;
        if (hasTrouble) lab.record.line(worker.id + " is cut off from the store for " + CUT_MS + " ms");
        double endS = cutS + 20;
        boolean isDropped = !hasTrouble;
        String broken = null;
        while (lab.record.seconds() < endS) {
            if (!isDropped && lab.record.seconds() > cutS + 2.5) {
                isDropped = true;
                lab.store.dropHistory();
                lab.record.line("the store drops its history");
            }
            if (worker.isCutFromStore && lab.record.seconds() > cutS + CUT_MS / 1_000.0) {
                worker.isCutFromStore = false;
                lab.record.line(worker.id + " reaches the store again");
            }
            String twice = runningTwice(lab);
            if (twice != null && broken == null) {
                broken = twice;
                lab.record.line(broken);
            }
            Thread.sleep(2);
        }
        lab.call("GET", 1, JOB, null);
        return broken;
    }

    private static String runningTwice(Lab lab) {
        Set<String> tasks = new HashSet<>();
        for (Worker worker : lab.workers) {
            for (String task : worker.tasks()) if (!tasks.add(task)) return "two runs of " + task + " at the same time";
        }
        return null;
    }
}
