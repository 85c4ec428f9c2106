import java.util.ArrayList;
import java.util.List;

/** The only worker of kind a crashes and is back under its id and address as a worker of kind b. */
final class Relabel extends Case implements Worker.Behaviour {
    private static final String ID = "i-7f3a0001";
    private static final int OF_KIND_B = 7;
    private static final int ROUNDS = 5;
    private static final long DOWN_MS = 2_000;
    private final List<String> wrong = new ArrayList<>();
    private Worker worker;

    Relabel(String[] arguments) {
        super(arguments);
    }

    public static void main(String[] arguments) {
        new Relabel(arguments).runAndExit(3);
    }

    @Override
    public long workMs(String task, String spec) {
        return spec.startsWith("00000000000000f") ? 100_000 : 1_000;
    }

    @Override
    public int acceleratorsOf(String task) {
        return task.startsWith("00000000000000e") ? 6 : 1;
    }

    @Override
    public synchronized void began(Worker worker, String task, int attempt) {
        say("start of " + task + " attempt " + attempt + " at " + worker.id + " with labels " + worker.labels);
        // All jobs of this case have the constraint "a".
        if (!worker.labels.contains("a")) wrong.add(task + " attempt " + attempt + " at " + worker.id + " with labels " + worker.labels);
    }

    @Override
    public void ended(Worker worker, String task, int attempt, String how) {
        say("end of " + task + " attempt " + attempt + " at " + worker.id + ": " + how);
    }

    private Worker begin(String id, int port, String kind) throws Exception {
        Worker begun = addWorker(id, port, List.of(kind, "r1-0"), this);
        say("worker " + id + " of kind " + kind + " begins at " + begun.address());
        return begun;
    }

    /** The worker crashes; two seconds later it is back as one of [kind]. */
    private void restartAs(String kind) throws Exception {
        say("worker " + ID + " crashes");
        worker.crash(true);
        Thread.sleep(DOWN_MS);
        worker = begin(ID, worker.port(), kind);
    }

    @Override
    String play() throws Exception {
        worker = begin(ID, 0, "a");
        for (int i = 0; i < OF_KIND_B; i++) begin("i-%08x".formatted(0x7f3b0001 + i), 0, "b");
        Thread.sleep(3_000);
        for (int round = 0; round < ROUNDS; round++) {
            String running = "00000000000000f" + round;
            submit("routine", running, "[{\"count\":1,\"cpu\":1000,\"memMb\":1000,\"gpus\":1,\"estimateMs\":100000,\"constraints\":\"a\"}]");
            Thread.sleep(3_500);
            if (!hasTrouble) {
                submit("routine", "00000000000000e" + round, "[{\"count\":1,\"cpu\":1000,\"memMb\":1000,\"gpus\":6,\"estimateMs\":1000,\"constraints\":\"a\"}]");
                Thread.sleep(6_000);
            } else {
                say("worker " + ID + " crashes");
                worker.crash(true);
                Thread.sleep(DOWN_MS / 2);
                submit("routine", "00000000000000e" + round, "[{\"count\":1,\"cpu\":1000,\"memMb\":1000,\"gpus\":6,\"estimateMs\":1000,\"constraints\":\"a\"}]");
                Thread.sleep(DOWN_MS / 2);
                worker = begin(ID, worker.port(), "b");
                Thread.sleep(3_000);
            }
            synchronized (this) {
                if (!wrong.isEmpty()) return wrong.size() + " starts on workers without the label in constraints, the first: " + wrong.get(0);
            }
            if (hasTrouble) {
                restartAs("a");
                Thread.sleep(3_000);
            }
            Reply reply = call(entries.get(0), "DELETE", "/routine/" + running, null, 3_000);
            say("DELETE " + running + " -> " + reply.status());
            Thread.sleep(1_500);
        }
        return null;
    }
}
