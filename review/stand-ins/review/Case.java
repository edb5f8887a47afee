package review;

import java.nio.file.Path;

/** Runs a case and ends the process: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
interface Case {
    int run(Deployment deployment, Record record, boolean trouble) throws Exception;

    static void main(String[] arguments, Case steps) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(arguments[0]));
        int code = 2;
        try (Deployment deployment = new Deployment(record)) {
            code = steps.run(deployment, record, trouble);
        } catch (Exception failure) {
            record.line("the case could not run: %s", failure);
            failure.printStackTrace();
        }
        record.line("exit code %d", code);
        System.exit(code);
    }
}
