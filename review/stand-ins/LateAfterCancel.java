import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The store performs some of the writes seconds later and without an answer. A consumer that got no acceptance gives its
 * job up and cancels it, and the cancelling is acknowledged with 410. Rule UNASKED: the job starts later than cancel_ms
 * after that, by a machine in touch.
 */
final class LateAfterCancel {
    private static final long CANCEL_MS = 3_000;
    private static final long TROUBLE_MS = 4_500;
    private static final long CONTACT_MS = 3_000;
    private static final long LATE_MS = 5_800;

    private static boolean isUnlucky(String id) {
        return Integer.parseInt(id.substring(12), 16) % 4 == 3;
    }

    public static void main(String[] arguments) throws Exception {
        Lab lab = new Lab(arguments[0]);
        lab.plan = (task, attempt) -> new Worker.Course(2_500, "done");
        Lab.Queue queue = new Lab.Queue("r-plan", "/pufi791/", 0, 4);
        lab.start(3, 4, List.of(queue), Map.of("kaje80", 16));
        Thread.sleep(3_000);
        AtomicInteger lost = new AtomicInteger();
        AtomicInteger writes = new AtomicInteger();
        long troubleFromMs = Lab.nowMs();
        if (Lab.hasTrouble()) {
            // platform_lost of the site omotnica-split: x = 0.35, for_s = 4.5, how = "late" (done 1 to 6 s later). Here it meets
            // the rows of every fourth job, which is less than that share of the writes; the record gives the share.
            lab.store.loss = upserts -> {
                writes.incrementAndGet();
                boolean isLost = upserts.stream().anyMatch(row -> Json.text(row, "table").equals("jobs") && isUnlucky(Json.text(row, "key")));
                if (isLost) lost.incrementAndGet();
                return isLost ? LATE_MS : -1;
            };
            Lab.after(TROUBLE_MS, () -> {
                lab.store.loss = upserts -> -1;
                lab.note("the store answers every write again; " + lost + " of " + writes + " writes had no answer and are done " + LATE_MS + " ms after they came");
            });
            lab.note("the store begins to perform some of the writes later, without an answer, for " + TROUBLE_MS + " ms");
        }
        Object job = Json.of("spec", "plan", "phases", List.of(Json.of("count", 1, "cpu", 1_000, "memMb", 1_000, "estimateMs", 2_500)));
        List<Thread> consumers = new ArrayList<>();
        List<String[]> acks = new ArrayList<>();
        int consumerCount = 28;
        for (int i = 0; i < consumerCount; i++) {
            String id = String.format("5c0e7a21d94b%04x", i);
            lab.need(id, new Worker.Need(1_000, 1_000, 0));
            Entry entry = lab.entries.get(i % lab.entries.size());
            Entry next = lab.entries.get((i + 1) % lab.entries.size());
            long delayMs = i * 160L;
            Thread consumer = new Thread(() -> {
                try {
                    Thread.sleep(delayMs);
                    int status = 0;
                    try {
                        status = lab.call(entry, "POST", queue.prefix() + id, job).status();
                    } catch (java.io.IOException e) {
                        // No answer.
                    }
                    if (status == 200 || status == 503 || status == 429) return;
                    // The consumer gives the job up and cancels it until that is acknowledged.
                    for (int n = 0; n < 20; n++) {
                        try {
                            int answer = lab.call(n % 2 == 0 ? next : entry, "DELETE", queue.prefix() + id, null).status();
                            if (answer == 200 || answer == 410) {
                                synchronized (acks) {
                                    acks.add(new String[] {id, "" + answer, "" + Lab.nowMs()});
                                }
                                return;
                            }
                        } catch (java.io.IOException e) {
                            // Again.
                        }
                        Thread.sleep(300);
                    }
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            consumers.add(consumer);
            consumer.start();
        }
        for (Thread consumer : consumers) consumer.join();
        Thread.sleep(20_000);
        int broken = 0;
        StringBuilder list = new StringBuilder();
        for (String[] ack : acks) {
            for (Events.Event start : lab.events.of("start", ack[0])) {
                long laterMs = start.atMs() - Long.parseLong(ack[2]);
                boolean isInTouch = start.atMs() > troubleFromMs + TROUBLE_MS + CONTACT_MS;
                if (laterMs > CANCEL_MS && isInTouch) {
                    broken++;
                    list.append(" ").append(ack[0]).append(" (DELETE ").append(ack[1]).append(", started ").append(laterMs).append(" ms later)");
                }
            }
        }
        lab.finish(broken > 0, broken + " starts by a machine in touch later than " + CANCEL_MS + " ms after the cancelling was acknowledged, of " + acks.size() + " cancelled jobs:" + list);
    }
}
