import type { PublishedRoute } from "@pistachioway/standins";

/** Requests of one route, as a site's callers send them. */
export interface SiteRoute extends PublishedRoute {
  readonly requestsPerSecond: number;
  /** Mean time that an engine works on a request, up to the first event of a stream. */
  readonly workMilliseconds: number;
  /** How often a caller sends a request again. */
  readonly retries: number;
}

/** An installation. */
export interface Site {
  readonly routers: number;
  readonly routes: readonly SiteRoute[];
}

/** Time that a caller of a record waits; the only figure in which the sites' routes differ. */
interface SiteFigures {
  readonly routers: number;
  readonly recordTimeoutMilliseconds: number;
}

/** The installations by name. */
export const sites = {
  "corrig-diary": createSite({ routers: 4, recordTimeoutMilliseconds: 1_000 }),
  "crk-trinidad": createSite({ routers: 5, recordTimeoutMilliseconds: 1_500 }),
} as const satisfies Readonly<Record<string, Site>>;

export type SiteName = keyof typeof sites;

function createSite({ routers, recordTimeoutMilliseconds }: SiteFigures): Site {
  const stream = { kind: "stream", workMilliseconds: 20, maxAttempts: 2, retries: 1 } as const;
  const record = {
    timeoutMilliseconds: recordTimeoutMilliseconds,
    workMilliseconds: 42.9,
    maxAttempts: 2,
    retries: 1,
  };
  const routes: readonly SiteRoute[] = [
    { ...stream, name: "summary", requestsPerSecond: 22.1, timeoutMilliseconds: 12_000 },
    { ...stream, name: "digest", requestsPerSecond: 39.9, timeoutMilliseconds: 2_500 },
    {
      name: "note",
      kind: "once",
      requestsPerSecond: 61,
      timeoutMilliseconds: 10_000,
      workMilliseconds: 20,
      maxAttempts: 1,
      retries: 1,
    },
    { ...record, name: "entry", kind: "act", requestsPerSecond: 30.7 },
    { ...record, name: "lookup", kind: "read", requestsPerSecond: 12.3 },
  ];
  return { routers, routes };
}
