import type { Result } from "true-myth";
import { DaemonAddressError, MissingDaemonError } from "../errors/index.js";
import { OperationsClient, type DaemonFailure } from "./OperationsClient.js";

const addressPattern = /^(\d{1,3})(\.\d{1,3}){3}:\d{1,5}$/;

/** The responses of the daemons, each with the daemon's address, and the failed queries. */
export interface DaemonResponses<Value> {
  readonly responses: readonly { readonly address: string; readonly value: Value }[];
  readonly failures: readonly DaemonFailure[];
}

/**
 * Queries all daemons in parallel.
 * @param addresses - Addresses of operations listeners.
 * @param query - Query to run against each daemon.
 * @throws MissingDaemonError when no address is given.
 * @throws DaemonAddressError when an address is malformed.
 */
export async function queryDaemons<Value>(
  addresses: readonly string[],
  query: (client: OperationsClient) => Promise<Result<Value, DaemonFailure>>,
): Promise<DaemonResponses<Value>> {
  const clients = getClientsOrThrow(addresses);
  const results = await Promise.all(clients.map(query));
  const responses: { address: string; value: Value }[] = [];
  const failures: DaemonFailure[] = [];
  for (const [index, result] of results.entries()) {
    if (result.isOk) {
      responses.push({ address: clients[index]?.address ?? "", value: result.value });
    } else {
      failures.push(result.error);
    }
  }
  return { responses, failures };
}

function getClientsOrThrow(addresses: readonly string[]): OperationsClient[] {
  const distinct = [...new Set(addresses.filter((address) => address !== ""))];
  if (distinct.length === 0) {
    throw new MissingDaemonError();
  }
  const malformed = distinct.find((address) => !addressPattern.test(address));
  if (malformed !== undefined) {
    throw new DaemonAddressError(malformed);
  }
  return distinct.map((address) => OperationsClient.create(address));
}
