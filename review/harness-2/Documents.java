/** The documents of a small deployment, with the figures of the Accra site. Stateless. */
final class Documents {

  static final String HOST_NAME = "desk.example";
  static final String MODEL = "base";
  static final String KEY = "key-of-account";
  static final String ACCOUNT = "account";
  static final int ADAPTER_SLOTS = 9;

  private Documents() {}

  /** Returns a configuration with one route of each kind. */
  static String configuration(long version) {
    return "{\"version\":"
        + version
        + ",\"routes\":["
        + route("chat", "streaming", "llm-pool", 2, 600, 15_000, true)
        + ","
        + route("book", "non_idempotent", "depot-app", 1, 100, 1_000, false)
        + ","
        + route("read", "idempotent", "depot-app", 2, 100, 1_000, false)
        + "],\"services\":[{\"name\":\"llm-pool\",\"health_path\":\"/healthz\",\"max_conns\":360,"
        + "\"proto\":\"h1\",\"tls\":false,\"engine\":{\"slot_count\":64,\"kv_tokens\":262134,"
        + "\"models\":[{\"name\":\""
        + MODEL
        + "\",\"weights_mb\":65100.0,\"load_time_s\":1.9,\"adapters\":3000,\"adapter_mb\":12.0}],"
        + "\"weights_mb\":66500.0,\"adapter_slots\":"
        + ADAPTER_SLOTS
        + ",\"loads_per_s\":4.2}},"
        + "{\"name\":\"depot-app\",\"health_path\":\"/healthz\",\"max_conns\":96,\"proto\":\"h1\","
        + "\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\""
        + ACCOUNT
        + "\",\"api_keys\":[\""
        + KEY
        + "\"],\"priority\":1,\"unit\":\"tokens\",\"raw_tokens\":200,\"req_per_s\":125971,"
        + "\"burst\":125971}]}";
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
        + HOST_NAME
        + "\",\"prefix\":\"/"
        + name
        + "/\",\"kind\":\""
        + kind
        + "\",\"timeout_ms\":"
        + timeout
        + ",\"latency_target_ms\":"
        + target
        + ",\"priority\":1,\"svc\":\""
        + service
        + "\",\"attempts\":"
        + attempts
        + ",\"public\":false,\"affinity\":"
        + resumable
        + ",\"resumable\":"
        + resumable
        + ",\"gap_aim_ms\":250}";
  }
}
