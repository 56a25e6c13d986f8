import java.util.ArrayList;
import java.util.List;

/** The configuration that the operator writes: a plain service and a service of model servers. */
final class Catalogue {

  static final String HOST = "ficu95.example";
  static final String KEY = "i9n73hh2b9wu3fexd9dn";
  static final int MAXIMUM_BODY_BYTES = 4_194_304;

  private Catalogue() {}

  /** Returns a configuration whose routes are those of the site's sheet. */
  static String of(long version) {
    return of(version, List.of(), List.of(KEY));
  }

  /**
   * Returns a configuration with further routes.
   *
   * @param further the names of further routes, which lead to the plain service
   * @param keys the keys of the tenant
   */
  static String of(long version, List<String> further, List<String> keys) {
    List<String> routes = new ArrayList<>();
    for (String name : further) {
      routes.add(route(name, "idempotent", "depot", 2, 121, 1_000, false));
    }
    routes.add(route("read", "idempotent", "depot", 2, 121, 1_000, false));
    routes.add(route("book", "non_idempotent", "depot", 1, 121, 1_000, false));
    routes.add(route("batch", "non_idempotent", "depot", 1, 800, 5_000, false));
    routes.add(route("chat", "streaming", "pool", 2, 600, 15_000, true));
    return "{\"version\":"
        + version
        + ",\"routes\":["
        + String.join(",", routes)
        + "],\"services\":["
        + "{\"name\":\"depot\",\"max_conns\":96},"
        + "{\"name\":\"pool\",\"max_conns\":360,\"engine\":{\"slot_count\":64,"
        + "\"kv_tokens\":262134,\"weights_mb\":66500,\"adapter_slots\":9,\"models\":[{\"name\":\""
        + Server.MODEL
        + "\",\"weights_mb\":65100,\"load_time_s\":1.9,\"adapters\":3000,\"adapter_mb\":12}]}}],"
        + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":"
        + MAXIMUM_BODY_BYTES
        + ",\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
        + "\"tenants\":[{\"name\":\"hule930\",\"api_keys\":[\""
        + String.join("\",\"", keys)
        + "\"],\"unit\":\"tokens\",\"raw_tokens\":200,\"req_per_s\":0,\"burst\":0}]}";
  }

  private static String route(
      String name,
      String kind,
      String service,
      int attempts,
      int target,
      int timeout,
      boolean resumable) {
    return "{\"name\":\""
        + name
        + "\",\"host\":\""
        + HOST
        + "\",\"prefix\":\"/"
        + name
        + "/\",\"kind\":\""
        + kind
        + "\",\"svc\":\""
        + service
        + "\",\"attempts\":"
        + attempts
        + ",\"latency_target_ms\":"
        + target
        + ",\"timeout_ms\":"
        + timeout
        + ",\"priority\":1,\"public\":false,\"affinity\":false,\"resumable\":"
        + resumable
        + ",\"gap_aim_ms\":250}";
  }
}
