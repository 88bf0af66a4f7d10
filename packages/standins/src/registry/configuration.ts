/** The variable contents of a published configuration; the rest is fixed. */
export interface PublishedConfigurationOptions {
  readonly version?: number;
  /** API keys of the only team; when empty, every key is unknown. */
  readonly keys?: readonly string[];
  readonly hasRoutes?: boolean;
  /** Request timeout of every route; when absent, routes have different ones. */
  readonly timeoutMilliseconds?: number;
}

/** Name of the service of every route and upstream. */
export const publishedService = "records";

/**
 * Creates a configuration in the platform's format, with one route of each kind: `/read/` is
 * idempotent, `/act/` is not, `/stream/` is a stream that another upstream may resume, and `/once/`
 * is a stream that none may resume.
 * @param options - Contents that differ from the defaults.
 */
export function createPublishedConfiguration(options: PublishedConfigurationOptions = {}): unknown {
  const { version = 1, keys = ["k-1"], hasRoutes = true, timeoutMilliseconds } = options;
  const common = {
    host: "chat.example",
    timeout_ms: timeoutMilliseconds ?? 2_000,
    goal_ms: 100,
    priority: 1,
    service: publishedService,
    max_attempts: 2,
    public: false,
    sticky: false,
    resumable: false,
  };
  const actTimeout = timeoutMilliseconds ?? 500;
  const routes = [
    { ...common, name: "read", prefix: "/read/", route_kind: "idempotent" },
    {
      ...common,
      name: "act",
      prefix: "/act/",
      route_kind: "non_idempotent",
      timeout_ms: actTimeout,
    },
    { ...common, name: "stream", prefix: "/stream/", route_kind: "streaming", resumable: true },
    { ...common, name: "once", prefix: "/once/", route_kind: "streaming", max_attempts: 1 },
  ];
  return {
    version,
    route_list: hasRoutes ? routes : [],
    services: [{ name: publishedService, health_path: "/healthz", max_conns: 100 }],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 65_536,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{ name: "callaloo", api_keys: keys }],
  };
}
