import java.nio.file.Path;

/** Runs a case and ends with its exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
abstract class Case {
    /** Whether the disruption takes place. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    /** Returns whether the rule held. */
    abstract boolean run(Deployment deployment) throws Exception;

    static void start(Case test, String[] arguments) {
        int status = 2;
        try (Deployment deployment = new Deployment(Path.of(arguments[0]))) {
            deployment.note("trouble=" + test.trouble);
            boolean held = test.run(deployment);
            deployment.note(held ? "the rule held" : "the rule was broken");
            status = held ? 0 : 1;
        } catch (Throwable failure) {
            System.err.println("the case could not run: " + failure);
        }
        System.exit(status);
    }
}
