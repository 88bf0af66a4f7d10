/** Kinds of routes; `once` is a stream that no other upstream may resume. */
export type PublishedRouteKind = "read" | "act" | "stream" | "once";

/** A route of a published configuration, with the prefix `/NAME/`. */
export interface PublishedRoute {
  readonly name: string;
  readonly kind: PublishedRouteKind;
  readonly timeoutMilliseconds: number;
  /** Number of upstreams that a request may be sent to. */
  readonly maxAttempts: number;
}

/** The variable contents of a published configuration; the rest is fixed. */
export interface PublishedConfigurationOptions {
  readonly version?: number;
  /** API keys of the only team; when empty, every key is unknown. */
  readonly keys?: readonly string[];
  readonly hasRoutes?: boolean;
  /** Request timeout of every route; when absent, routes have different ones. */
  readonly timeoutMilliseconds?: number;
  /** Routes in place of the one of each kind. */
  readonly routes?: readonly PublishedRoute[];
  /** Size of the largest body of a request. */
  readonly maxBodyBytes?: number;
}

/** Name of the service of every route and upstream. */
export const publishedService = "records";

const commonRouteEntry = {
  host: "chat.example",
  goal_ms: 100,
  priority: 1,
  service: publishedService,
  max_attempts: 2,
  public: false,
  sticky: false,
  resumable: false,
};

/** Fields of a route that follow from its kind. */
const kindEntries: Readonly<Record<PublishedRouteKind, object>> = {
  read: { route_kind: "idempotent" },
  act: { route_kind: "non_idempotent" },
  stream: { route_kind: "streaming", resumable: true },
  once: { route_kind: "streaming" },
};

/**
 * Creates a configuration in the platform's format, with one route of each kind: `/read/` is
 * idempotent, `/act/` is not, `/stream/` is a stream that another upstream may resume, and `/once/`
 * is a stream that none may resume.
 * @param options - Contents that differ from the defaults.
 */
export function createPublishedConfiguration(options: PublishedConfigurationOptions = {}): unknown {
  const { version = 1, keys = ["k-1"], hasRoutes = true, timeoutMilliseconds } = options;
  const common = { ...commonRouteEntry, timeout_ms: timeoutMilliseconds ?? 2_000 };
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
    route_list: hasRoutes ? (options.routes?.map(toRouteEntry) ?? routes) : [],
    services: [{ name: publishedService, health_path: "/healthz", max_conns: 100 }],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: options.maxBodyBytes ?? 65_536,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{ name: "callaloo", api_keys: keys }],
  };
}

function toRouteEntry({ name, kind, timeoutMilliseconds, maxAttempts }: PublishedRoute): object {
  return {
    ...commonRouteEntry,
    ...kindEntries[kind],
    name,
    prefix: `/${name}/`,
    timeout_ms: timeoutMilliseconds,
    max_attempts: maxAttempts,
  };
}
