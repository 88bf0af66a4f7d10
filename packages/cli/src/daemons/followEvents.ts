import { ActKey, type EventPage, type Instant, type TimelineEvent } from "@pistachioway/kernel";
import { askDaemons, type Answers } from "./askDaemons.js";

/** Fields whose values lead on to the other events of the same request or act. */
const linkingFields = ["request", "act"] as const;
const maxFollowedIds = 100;

/** What followed ids lead to, and whether all of them were followed. */
export interface FollowedEvents extends Answers<EventPage> {
  readonly isWhole: boolean;
}

/**
 * Reads the events of one request, act or chat, through every request and act that they name.
 * @param addresses - Addresses of operations listeners.
 * @param id - Id of a request, act or chat, or an act key.
 * @param askedAt - Time of the call; events after it may be left out.
 */
export async function followEvents(
  addresses: readonly string[],
  id: string,
  askedAt: Instant,
): Promise<FollowedEvents> {
  const first = getEventId(id);
  const ids = [first];
  let found = await readEvents(addresses, first, askedAt);
  for (const followed of ids) {
    if (followed !== first) {
      found = joinAnswers(found, await readEvents(addresses, followed, askedAt));
    }
    const linked = found.answers.flatMap(({ value }) => value.events.flatMap(getLinkedIds));
    const added = [...new Set(linked)].filter((each) => !ids.includes(each));
    if (ids.length + added.length > maxFollowedIds) {
      return { ...found, isWhole: false };
    }
    ids.push(...added);
  }
  return { ...found, isWhole: true };
}

/** Gets the id that events carry: an act key itself is never written into an event. */
function getEventId(id: string): string {
  return ActKey.parse(id)
    .map((key) => key.actId)
    .unwrapOr(id);
}

function readEvents(
  addresses: readonly string[],
  id: string,
  askedAt: Instant,
): Promise<Answers<EventPage>> {
  return askDaemons(addresses, (client) => client.getEvents(id, askedAt));
}

function joinAnswers(first: Answers<EventPage>, second: Answers<EventPage>): Answers<EventPage> {
  const answers = first.answers.map(({ address, value }) => {
    const other = second.answers.find((answer) => answer.address === address);
    const known = new Set(value.events.map(({ sequence }) => sequence));
    const added = other?.value.events.filter(({ sequence }) => !known.has(sequence)) ?? [];
    return { address, value: { ...value, events: [...value.events, ...added] } };
  });
  return { answers, failures: first.failures };
}

function getLinkedIds({ fields }: TimelineEvent): string[] {
  return linkingFields
    .map((field) => fields[field])
    .filter((value): value is string => typeof value === "string");
}
