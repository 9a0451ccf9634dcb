package org.anvillatch.testbed.site;

import java.util.ArrayList;
import java.util.List;

/**
 * Specification of a site: its failure domains, services and kinds of requests. {@link #sicily()}
 * and {@link #zagreb()} have the sizes given in the project brief. Immutable and thread safe.
 *
 * @param name name of the site
 * @param domains failure domains
 * @param importances names of the importance levels, least important first
 * @param retryBound declared maximum number of retries for one root request
 * @param services the services
 * @param kinds kinds of root requests
 */
public record SiteSpec(
        String name,
        List<String> domains,
        List<String> importances,
        int retryBound,
        List<ServiceSpec> services,
        List<RequestKind> kinds) {
    /**
     * A kind of root request.
     *
     * @param label name in printed tables
     * @param operation {@code service/operation}
     * @param arrivalRatio fraction of the arrivals; the fractions of a site add up to 1
     */
    public record RequestKind(String label, String operation, double arrivalRatio) {}

    private static final List<String> IMPORTANCES = List.of("bulk", "normal", "important");

    /**
     * Returns the specification of the phrasebook platform in Palermo.
     *
     * @return a site with four failure domains and four services of four endpoints
     */
    public static SiteSpec sicily() {
        ServiceSpec catalogue = new ServiceSpec(
                "catalogue",
                4,
                80,
                570,
                List.of(
                        new OperationSpec(
                                "lookup", "normal", true, 1_000, 20, List.of("pronunciation/notes", "glossary/terms")),
                        new OperationSpec("feed", "bulk", true, 1_000, 20, List.of("glossary/terms")),
                        new OperationSpec("update", "important", false, 1_500, 20, List.of("glossary/terms"))));
        ServiceSpec revisionDesk = new ServiceSpec(
                "revision-desk",
                4,
                80,
                570,
                List.of(new OperationSpec("apply", "important", false, 2_000, 20, List.of("catalogue/update"))));
        ServiceSpec pronunciation = new ServiceSpec(
                "pronunciation",
                4,
                80,
                570,
                List.of(new OperationSpec("notes", "normal", true, 1_000, 20, List.of("glossary/terms"))));
        ServiceSpec glossary = new ServiceSpec(
                "glossary", 4, 15, 180, List.of(new OperationSpec("terms", "normal", true, 1_000, 100, List.of())));
        return new SiteSpec(
                "sicily",
                List.of("pal-a", "pal-b", "cat-a", "mes-a"),
                IMPORTANCES,
                6,
                List.of(catalogue, revisionDesk, pronunciation, glossary),
                List.of(
                        new RequestKind("lookup", "catalogue/lookup", 0.5),
                        new RequestKind("feed", "catalogue/feed", 0.35),
                        new RequestKind("revision", "revision-desk/apply", 0.15)));
    }

    /**
     * Returns the specification of the recipe mesh in Zagreb.
     *
     * @return a site with three failure domains and four services of three or four endpoints
     */
    public static SiteSpec zagreb() {
        ServiceSpec recipeBook = new ServiceSpec(
                "recipe-book", 4, 240, 1_500, List.of(new OperationSpec("find", "normal", true, 1_000, 50, List.of())));
        ServiceSpec pantry = new ServiceSpec(
                "pantry",
                4,
                240,
                1_500,
                List.of(
                        new OperationSpec("stock", "normal", true, 1_000, 50, List.of("recipe-book/find")),
                        new OperationSpec("reserve", "important", false, 1_500, 50, List.of("recipe-book/find"))));
        ServiceSpec mealPlan = new ServiceSpec(
                "meal-plan",
                3,
                320,
                2_000,
                List.of(new OperationSpec("save", "important", false, 2_000, 50, List.of("pantry/reserve"))));
        ServiceSpec portions = new ServiceSpec(
                "portions",
                3,
                40,
                330,
                List.of(
                        new OperationSpec("urgent", "important", true, 1_000, 200, List.of("pantry/stock")),
                        new OperationSpec("scale", "bulk", true, 1_000, 200, List.of("pantry/stock"))));
        return new SiteSpec(
                "zagreb",
                List.of("zg-istok", "zg-zapad", "zg-sjever"),
                IMPORTANCES,
                6,
                List.of(recipeBook, pantry, mealPlan, portions),
                List.of(
                        new RequestKind("urgent", "portions/urgent", 0.2),
                        new RequestKind("scale", "portions/scale", 0.65),
                        new RequestKind("plan", "meal-plan/save", 0.15)));
    }

    /**
     * Returns the specification of a small site for fault tests.
     *
     * @return a site with three failure domains and three services of three endpoints
     */
    public static SiteSpec small() {
        ServiceSpec front = new ServiceSpec(
                "front",
                3,
                40,
                300,
                List.of(
                        new OperationSpec("read", "normal", true, 1_000, 5, List.of("middle/read")),
                        new OperationSpec("write", "important", false, 1_500, 5, List.of("middle/write"))));
        ServiceSpec middle = new ServiceSpec(
                "middle",
                3,
                40,
                300,
                List.of(
                        new OperationSpec("read", "normal", true, 1_000, 5, List.of("back/read", "back/read")),
                        new OperationSpec("write", "important", false, 1_500, 5, List.of("back/write"))));
        ServiceSpec back = new ServiceSpec(
                "back",
                3,
                20,
                200,
                List.of(
                        new OperationSpec("read", "normal", true, 1_000, 20, List.of()),
                        new OperationSpec("write", "important", false, 1_500, 20, List.of())));
        return new SiteSpec(
                "small",
                List.of("north", "east", "south"),
                IMPORTANCES,
                4,
                List.of(front, middle, back),
                List.of(new RequestKind("read", "front/read", 0.6), new RequestKind("write", "front/write", 0.4)));
    }

    /**
     * Finds a site.
     *
     * @param name name of the site
     * @return the specification, or null if there is none of this name
     */
    public static SiteSpec byName(String name) {
        return switch (name) {
            case "sicily" -> sicily();
            case "zagreb" -> zagreb();
            case "small" -> small();
            default -> null;
        };
    }

    /**
     * Finds a service.
     *
     * @param service name of the service
     * @return the service
     * @throws IllegalArgumentException if the site has no service of this name
     */
    public ServiceSpec service(String service) {
        return services.stream()
                .filter(spec -> spec.name().equals(service))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("no service " + service + " at " + name));
    }

    /**
     * Finds an operation.
     *
     * @param path {@code service/operation}
     * @return the operation, or null if the service has none of this name
     * @throws IllegalArgumentException if the site has no service of this name
     */
    public OperationSpec operation(String path) {
        int slash = path.indexOf('/');
        return service(path.substring(0, slash)).operation(path.substring(slash + 1));
    }

    /**
     * Returns this specification with slower services, so that all rates decrease by the same factor.
     *
     * @param factor factor on service times and deadlines
     * @return a modified copy
     */
    public SiteSpec slowedBy(double factor) {
        List<ServiceSpec> slowedServices = services.stream()
                .map(service -> new ServiceSpec(
                        service.name(),
                        service.endpointCount(),
                        service.slots(),
                        service.maxConnections(),
                        service.operations().stream()
                                .map(operation -> operation.slowedBy(factor))
                                .toList()))
                .toList();
        return new SiteSpec(name, domains, importances, retryBound, slowedServices, kinds);
    }

    /**
     * Returns the configuration of the site in the operators' language.
     *
     * @return a script
     */
    public String configurationScript() {
        List<String> statements = new ArrayList<>();
        statements.add("importance order " + String.join(" < ", importances));
        statements.add("retry bound " + retryBound);
        for (ServiceSpec service : services) {
            for (OperationSpec operation : service.operations()) {
                statements.add("operation " + service.name() + "/" + operation.name() + " importance "
                        + operation.importance() + (operation.idempotent() ? " idempotent" : " not idempotent")
                        + " deadline " + operation.deadlineMillis() + " ms");
            }
        }
        return String.join(";\n", statements);
    }
}
