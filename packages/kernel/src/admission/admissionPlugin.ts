import { pluginRegistry, type Instant } from "../kernel/index.js";
import { admitWaiting, endRunning } from "./admit.js";
import { reportTeamTotals } from "./fleetLimit.js";
import type { AdmissionEffect, AdmissionMessage, ArrivalMessage } from "./messages.js";
import { addWaiting, expireWaiting, findRefusal, removeWaiting } from "./queue.js";
import { createAdmissionState, createPeerTotals, type AdmissionState } from "./state.js";
import { setTeams } from "./teams.js";
import { UnknownTeamError } from "./UnknownTeamError.js";

/** Decides whether each request is admitted, waits in its team's queue, or is refused. */
export const admissionPlugin = pluginRegistry.addPlugin<
  AdmissionState,
  AdmissionMessage,
  AdmissionEffect
>({
  name: "admission",
  createState: createAdmissionState,
  handle: (state, message, now) => ({ state, effects: handle(state, message, now) }),
});

function handle(
  state: AdmissionState,
  message: AdmissionMessage,
  now: Instant,
): readonly AdmissionEffect[] {
  switch (message.kind) {
    case "configure":
      state.isShareGuarded = message.disabledGuards?.includes("admission-shares") !== true;
      return [...setTeams(state, message.teams, now), ...admitWaiting(state, now)];
    case "capacity":
      setCapacity(state, message.capacity, message.daemon, message.daemons);
      return admitWaiting(state, now);
    case "arrive":
      return handleArrival(state, message, now);
    case "finish":
      endRunning(state, message.requestId, now, true);
      return admitWaiting(state, now);
    case "cancel":
      cancel(state, message.requestId, now);
      return admitWaiting(state, now);
    case "peerTotals":
      state.peerTotals.set(message.from, createPeerTotals(message.at, message.totals));
      return admitWaiting(state, now);
    case "tick":
      return handleTick(state, now);
  }
}

function setCapacity(
  state: AdmissionState,
  capacity: number,
  daemon: string,
  daemons: readonly string[],
): void {
  state.capacity = capacity;
  state.daemon = daemon;
  state.daemons = daemons;
  for (const peer of [...state.peerTotals.keys()]) {
    if (!daemons.includes(peer)) {
      state.peerTotals.delete(peer);
    }
  }
}

function handleArrival(
  state: AdmissionState,
  message: ArrivalMessage,
  now: Instant,
): readonly AdmissionEffect[] {
  const { requestId, cost, deadline } = message;
  const team = state.teams.get(message.team);
  if (team === undefined) {
    const error = new UnknownTeamError(message.team);
    return [{ kind: "refuse", requestId, error, retryAt: now }];
  }
  const request = { requestId, team: team.name, cost, deadline, arrivedAt: now };
  addWaiting(state, team, request);
  const admitted = admitWaiting(state, now);
  if (!state.waiting.has(requestId)) {
    return admitted;
  }
  const refusal = findRefusal(state, team, message, now);
  if (refusal === undefined) {
    return admitted;
  }
  removeWaiting(state, team, request);
  return [...admitted, refusal];
}

function cancel(state: AdmissionState, requestId: string, now: Instant): void {
  const request = state.waiting.get(requestId);
  const team = request === undefined ? undefined : state.teams.get(request.team);
  if (request !== undefined && team !== undefined) {
    removeWaiting(state, team, request);
    return;
  }
  endRunning(state, requestId, now, false);
}

function handleTick(state: AdmissionState, now: Instant): readonly AdmissionEffect[] {
  const expired = expireWaiting(state, now);
  const totals = reportTeamTotals(state, now);
  const admitted = admitWaiting(state, now);
  return totals === undefined ? [...expired, ...admitted] : [...expired, ...admitted, totals];
}
