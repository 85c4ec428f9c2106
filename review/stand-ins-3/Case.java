import java.nio.file.Path;

/** Runs a case and sets the exit code: 0 when the rule held, 1 when it was broken, 2 when the case couldn't run. */
final class Case {
    interface Body {
        /** Returns why the rule was broken, or null if it held. */
        String run(Lab lab, boolean hasTrouble) throws Exception;
    }

    static void run(String[] arguments, Body body) {
        int status = 2;
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        try (Lab lab = new Lab(Path.of(arguments[0]), Path.of(arguments[1]), Path.of(arguments[2]))) {
            try {
                String broken = body.run(lab, hasTrouble);
                String result = broken == null ? "the rule held" : "the rule was broken: " + broken;
                lab.record.line(result);
                System.out.println(result);
                status = broken == null ? 0 : 1;
            } catch (Exception e) {
                lab.record.line("the case couldn't run: " + e);
                e.printStackTrace();
            }
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(status);
    }
}
