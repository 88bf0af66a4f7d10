import { ActKey, type EventPage, type Instant, type TimelineEvent } from "@pistachioway/kernel";
import { queryDaemons, type DaemonResponses } from "./queryDaemons.js";

/** Fields whose values are ids of linked requests and acts. */
const linkingFields = ["request", "act"] as const;
const maxFollowedIds = 100;

/** The events of an id and of the ids linked to it. */
export interface FollowedEvents extends DaemonResponses<EventPage> {
  /** False when more ids are linked than the limit allows to read. */
  readonly isWhole: boolean;
}

/**
 * Reads the events of one request, act or chat, and of all requests and acts linked to them.
 * @param addresses - Addresses of operations listeners.
 * @param id - Id of a request, act or chat, or an act key.
 * @param queriedAt - Time of the call; later events may be missing.
 */
export async function followEvents(
  addresses: readonly string[],
  id: string,
  queriedAt: Instant,
): Promise<FollowedEvents> {
  const first = getEventId(id);
  const ids = [first];
  let responses = await readEvents(addresses, first, queriedAt);
  for (const followed of ids) {
    if (followed !== first) {
      responses = mergeResponses(responses, await readEvents(addresses, followed, queriedAt));
    }
    const linked = responses.responses.flatMap(({ value }) => value.events.flatMap(getLinkedIds));
    const added = [...new Set(linked)].filter((each) => !ids.includes(each));
    if (ids.length + added.length > maxFollowedIds) {
      return { ...responses, isWhole: false };
    }
    ids.push(...added);
  }
  return { ...responses, isWhole: true };
}

/** Gets the id that events contain: the act id for an act key, which is never written to events. */
function getEventId(id: string): string {
  return ActKey.parse(id)
    .map((key) => key.actId)
    .unwrapOr(id);
}

function readEvents(
  addresses: readonly string[],
  id: string,
  queriedAt: Instant,
): Promise<DaemonResponses<EventPage>> {
  return queryDaemons(addresses, (client) => client.getEvents(id, queriedAt));
}

function mergeResponses(
  first: DaemonResponses<EventPage>,
  second: DaemonResponses<EventPage>,
): DaemonResponses<EventPage> {
  const responses = first.responses.map(({ address, value }) => {
    const other = second.responses.find((response) => response.address === address);
    const known = new Set(value.events.map(({ sequence }) => sequence));
    const added = other?.value.events.filter(({ sequence }) => !known.has(sequence)) ?? [];
    return { address, value: { ...value, events: [...value.events, ...added] } };
  });
  return { responses, failures: first.failures };
}

function getLinkedIds({ fields }: TimelineEvent): string[] {
  return linkingFields
    .map((field) => fields[field])
    .filter((value): value is string => typeof value === "string");
}
