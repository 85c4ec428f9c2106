import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A subtask crashes each worker that starts it; the machine is back some seconds later as a worker of another id and address. */
final class CrashesWithoutEnd {
    private static final String DEADLY = "dead000000000001";
    private static final int CRASH_AFTER_MS = 300;
    private static final int BACK_AFTER_MS = 4_000;
    private static final int MAX_STARTS = 3 + 2;

    private static final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2, task -> {
        Thread thread = new Thread(task, "timer");
        thread.setDaemon(true);
        return thread;
    });

    public static void main(String[] arguments) {
        Case.run(arguments, CrashesWithoutEnd::run);
    }

    private static String run(Lab lab, boolean hasTrouble) throws Exception {
        AtomicInteger starts = new AtomicInteger();
        AtomicInteger lives = new AtomicInteger();
        Worker.StartListener[] listener = new Worker.StartListener[1];
        listener[0] = (worker, task) -> {
            if (!task.startsWith(DEADLY)) return;
            starts.incrementAndGet();
            if (!hasTrouble) return;
            timer.schedule(() -> worker.end("crashes"), CRASH_AFTER_MS, TimeUnit.MILLISECONDS);
            timer.schedule(() -> {
                Worker next = lab.addWorker(String.format("j-%08x", lives.incrementAndGet()), "a", worker.rack, 0);
                next.listener = listener[0];
                return null;
            }, BACK_AFTER_MS, TimeUnit.MILLISECONDS);
        };
        lab.addWorkers(32, 6);
        lab.workers.forEach(worker -> worker.listener = listener[0]);
        lab.startEntries(3);
        lab.submit(DEADLY, 1, "ms=8500", Lab.step(1, 13_000, 68_000, 1, 8_500));
        double beganS = lab.record.seconds();
        while (lab.record.seconds() < beganS + 55) Thread.sleep(1_000);
        String state = lab.call("GET", 1, DEADLY, null);
        String seen = starts + " starts, the state is " + state;
        lab.record.line(seen);
        return starts.get() > MAX_STARTS ? seen : null;
    }
}
