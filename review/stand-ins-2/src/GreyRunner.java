import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** One of eight runners runs orders and ends a part of them with 503, without `Not-Executed`. */
final class GreyRunner {
    public static void main(String[] args) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        Record.open(Path.of(args[0]));
        Map<String, String> runs = new ConcurrentHashMap<>();
        int result = 2;
        try (Plain plain = new Plain(6, 8, (runner, request) -> runs.put(request.fields.get("request-id"), runner.id))) {
            if (plain.start()) result = play(plain, hasTrouble, runs);
        }
        System.exit(result);
    }

    private static int play(Plain plain, boolean hasTrouble, Map<String, String> runs) throws Exception {
        AtomicInteger served = new AtomicInteger();
        AtomicInteger broken = new AtomicInteger();
        long start = Record.now();
        Thread[] clients = new Thread[6];
        for (int i = 0; i < clients.length; i++) {
            Daemons.Daemon daemon = plain.entries.get(i % 3);
            clients[i] = Http.start("client", () -> {
                try (Caller caller = new Caller(daemon.address, daemon.front)) {
                    while (Record.now() - start < 14_000) {
                        String id = Plain.newId();
                        Caller.Answer answer =
                            caller.call("POST", "/orders/a", Plain.fields(id, 1_500), id.getBytes(), 2_000);
                        if (answer.status() == 200) served.incrementAndGet();
                        boolean isPromise = answer.status() == 503 || answer.status() == 429 || answer.status() == 408
                            || answer.status() == 421;
                        if (isPromise && runs.containsKey(id)) {
                            broken.incrementAndGet();
                            Record.line("REFUSED id=" + id + " status=" + answer.status() + " ran=" + runs.get(id));
                        }
                        Thread.sleep(300);
                    }
                }
            });
        }
        Thread.sleep(4_000);
        if (hasTrouble) {
            Runner grey = plain.runners.get(0);
            Record.line("trouble grey=" + grey.id + " share=0.45 for_s=6.5");
            grey.failure = 503;
            grey.failingShare = 0.45;
            Thread.sleep(6_500);
            grey.failingShare = 0;
            Record.line("trouble ended");
        }
        for (Thread client : clients) client.join();
        Record.line("result served=" + served + " refused-and-run=" + broken);
        if (served.get() < 50) return 2;
        return broken.get() > 0 ? 1 : 0;
    }
}
