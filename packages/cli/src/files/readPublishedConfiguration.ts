import { getRoutingFaults, type Routing } from "@pistachioway/kernel";
import { readTextFile } from "./textFiles.js";

/** A configuration as routers would read it. */
export interface PublishedConfiguration {
  /** Undefined when they would take nothing of it. */
  readonly routing: Routing | undefined;
  /** What they would leave out, or could not serve, a sentence each. */
  readonly faults: readonly string[];
}

/**
 * Reads a configuration as it is published for routers.
 * @param path - File with the published text.
 * @throws FileError when it cannot be read.
 */
export async function readPublishedConfiguration(path: string): Promise<PublishedConfiguration> {
  const text = await readTextFile(path);
  // Loaded here, so that the other commands start without the client of the platform.
  const { decodeConfiguration } = await import("@pistachioway/platform");
  return decodeConfiguration(text).match<PublishedConfiguration>({
    Ok: ({ routing, faults }) => ({ routing, faults: [...faults, ...getRoutingFaults(routing)] }),
    Err: ({ message }) => ({ routing: undefined, faults: [message] }),
  });
}
