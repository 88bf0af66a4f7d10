import type { Instant } from "../kernel/index.js";
import { evaluateHost } from "./evaluation.js";
import { queueHealthReport } from "./gossip.js";
import type { HostRecord, MembershipState } from "./state.js";
import type { HostView } from "./view.js";

/**
 * Evaluates hosts, updates their views and returns those that changed.
 * @param state - State to update.
 * @param records - Hosts to evaluate.
 * @param now - Current time.
 */
export function updateHostViews(
  state: MembershipState,
  records: Iterable<HostRecord>,
  now: Instant,
): HostView[] {
  const changed: HostView[] = [];
  for (const record of records) {
    const before = state.hosts.get(record.name);
    const after = createHostView(state, record, now);
    updateIneligibleHosts(state, after);
    if (before === undefined || !isSame(before, after)) {
      state.hosts.set(record.name, after);
      queueHealthReport(state, before, after);
      changed.push(after);
    }
  }
  return changed;
}

function createHostView(state: MembershipState, record: HostRecord, now: Instant): HostView {
  const { state: hostState, reason } = evaluateHost(state, record, now);
  return {
    name: record.name,
    role: record.role,
    zone: record.zone,
    address: record.address,
    state: hostState,
    reason,
    reuseAt: hostState === "damped" ? record.damping.reuseAt : undefined,
  };
}

function updateIneligibleHosts(state: MembershipState, view: HostView): void {
  if (view.state === "eligible") {
    state.ineligibleHosts.delete(view.name);
  } else {
    state.ineligibleHosts.add(view.name);
  }
}

function isSame(a: HostView, b: HostView): boolean {
  return (
    a.state === b.state &&
    a.reason === b.reason &&
    a.address === b.address &&
    a.zone === b.zone &&
    a.reuseAt === b.reuseAt
  );
}
