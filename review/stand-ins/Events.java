import java.util.ArrayList;
import java.util.List;

/** What the workers have seen: starts, ends, and ends that were taken note of. */
final class Events {
    record Event(long atMs, String kind, String worker, String task, int attempt, String how) {}

    private final Lab lab;
    private final List<Event> all = new ArrayList<>();

    Events(Lab lab) {
        this.lab = lab;
    }

    void started(Worker worker, String task, int attempt) {
        add(new Event(Lab.nowMs(), "start", worker.id, task, attempt, ""));
    }

    void ended(Worker worker, String task, int attempt, String how, long number) {
        add(new Event(Lab.nowMs(), "end", worker.id, task, attempt, how));
    }

    void noted(Worker worker, String task, int attempt, String how) {
        add(new Event(Lab.nowMs(), "noted", worker.id, task, attempt, how));
    }

    private void add(Event event) {
        synchronized (all) {
            all.add(event);
        }
        lab.note("worker " + event.worker + ": " + event.kind + " " + event.task + "#" + event.attempt + " " + event.how);
    }

    List<Event> all() {
        synchronized (all) {
            return new ArrayList<>(all);
        }
    }

    List<Event> of(String kind, String taskPrefix) {
        List<Event> found = new ArrayList<>();
        for (Event event : all()) if (event.kind.equals(kind) && event.task.startsWith(taskPrefix)) found.add(event);
        return found;
    }
}
