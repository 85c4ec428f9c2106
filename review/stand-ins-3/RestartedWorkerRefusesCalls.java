import java.util.HashMap;
import java.util.Map;

/** A worker crashes while it is idle, is back under its id, and refuses some of the calls after that. */
final class RestartedWorkerRefusesCalls {
    private static final int WORKERS = 32;
    private static final int ROUNDS = 18;
    private static final int BACK_AFTER_MS = 1_500;
    private static final double REFUSED_SHARE = 0.4;

    public static void main(String[] arguments) {
        Case.run(arguments, RestartedWorkerRefusesCalls::run);
    }

    private static volatile String broken;

    private static String run(Lab lab, boolean hasTrouble) throws Exception {
        lab.addWorkers(WORKERS, 6);
        lab.startEntries(3);
        Thread watch = new Thread(() -> watch(lab));
        watch.setDaemon(true);
        watch.start();
        for (int round = 0; round < ROUNDS && broken == null; round++) {
            Worker worker = lab.workers.get(0);
            if (hasTrouble) {
                worker.end("crashes");
                Thread.sleep(BACK_AFTER_MS);
                worker = lab.restart(worker, REFUSED_SHARE);
            } else {
                Thread.sleep(BACK_AFTER_MS);
            }
            lab.submit(String.format("c%015x", round), 1, "ms=1500", Lab.step(4, 2_800, 11_000, 2, 1_500));
            Thread.sleep(3_000);
            worker.refusedShare = 0;
            Thread.sleep(500);
        }
        return broken;
    }

    private static void watch(Lab lab) {
        while (broken == null) {
            Map<String, String> places = new HashMap<>();
            for (Worker worker : lab.workers) {
                for (String task : worker.tasks()) {
                    String other = places.put(task, worker.id);
                    if (other == null || other.equals(worker.id)) continue;
                    broken = "two runs of " + task + " at the same time, on " + other + " and " + worker.id;
                    lab.record.line(broken);
                }
            }
            try {
                Thread.sleep(2);
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
