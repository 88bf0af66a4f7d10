/** What a published configuration of the stand-in holds; the rest is fixed. */
export interface PublishedConfigurationOptions {
  readonly version?: number;
  /** Keys of the one team; without any, every key is unknown. */
  readonly keys?: readonly string[];
  readonly hasRoutes?: boolean;
  /** Longest time of a request, on every route; each has its own when absent. */
  readonly timeoutMilliseconds?: number;
}

/** The service of every route and upstream. */
export const publishedService = "records";

/**
 * Creates a configuration in the platform's words, with one route of each kind: `/read/` idempotent,
 * `/act/` not, `/stream/` a stream that may go on elsewhere, `/once/` one that may not.
 * @param options - What differs from the usual.
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
