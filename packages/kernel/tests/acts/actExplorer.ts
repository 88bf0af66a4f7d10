/** Explores every reachable state of an `ActSimulation` and checks the invariants in each. */
import type { ActsMessage, AttemptResult } from "@pistachioway/kernel";
import { ActSimulation, type ActScenario, type Fault, type InFlightItem } from "./ActSimulation.js";

interface Action {
  readonly name: string;
  readonly fault?: Fault;
  readonly run: (simulation: ActSimulation) => void;
}

/** Result of an exploration. */
export interface Exploration {
  readonly states: number;
  /** Outcomes of all requests, for each state in which nothing happens without another fault. */
  readonly outcomes: readonly string[];
  readonly violation?: string;
}

/** Explores all interleavings of a scenario up to the first violation. */
export function explore(scenario: ActScenario): Exploration {
  const first = ActSimulation.create(scenario).getSnapshot();
  const seen = new Set([first.toString("latin1")]);
  const outcomes = new Set<string>();
  const stack = [first];
  for (let snapshot = stack.pop(); snapshot !== undefined; snapshot = stack.pop()) {
    const simulation = ActSimulation.restore(scenario, snapshot);
    const actions = getActions(simulation);
    const isQuiescent = actions.every(({ fault }) => fault !== undefined);
    const violation = getViolation(simulation, isQuiescent);
    if (violation !== undefined) {
      return { states: seen.size, outcomes: [], violation };
    }
    if (isQuiescent) {
      outcomes.add(simulation.outcomes.map(([outcome]) => outcome).join(","));
    }
    for (const action of actions) {
      const next = ActSimulation.restore(scenario, snapshot);
      runAction(next, action);
      addSnapshot(next.getSnapshot(), seen, stack);
    }
  }
  return { states: seen.size, outcomes: [...outcomes].sort() };
}

function addSnapshot(snapshot: Buffer, seen: Set<string>, stack: Buffer[]): void {
  const key = snapshot.toString("latin1");
  if (!seen.has(key)) {
    seen.add(key);
    stack.push(snapshot);
  }
}

/** Runs one walk through a scenario. Each number selects a step. Returns the violation, if any. */
export function runRandomWalk(
  scenario: ActScenario,
  choices: readonly number[],
): string | undefined {
  const simulation = ActSimulation.create(scenario);
  for (const choice of choices) {
    const actions = getActions(simulation);
    const action = actions[choice % Math.max(actions.length, 1)];
    if (action !== undefined) {
      runAction(simulation, action);
    }
    const violation = getViolation(simulation, actions.length === 0);
    if (violation !== undefined) {
      return violation;
    }
  }
  return undefined;
}

function getViolation(simulation: ActSimulation, isQuiescent: boolean): string | undefined {
  if (Object.values(simulation.runCounts).some((count) => count > 1)) {
    return "ran twice";
  }
  const [issuer = ""] = simulation.scenario.daemons;
  const isFalseNotRun = simulation.scenario.submits.some(
    ({ key }, index) =>
      simulation.outcomes[index]?.includes("not-run") &&
      simulation.runCounts[`${issuer}/i1/${String(key)}`],
  );
  if (isFalseNotRun) {
    return "not-run, but it ran";
  }
  if (simulation.outcomes.some(({ length }) => length > 1)) {
    return "answered twice";
  }
  const isUnanswered = simulation.outcomes.some(
    ({ length }, index) => simulation.submitted[index] && length === 0,
  );
  return isQuiescent && isUnanswered ? "not answered" : undefined;
}

function runAction(simulation: ActSimulation, { fault, run }: Action): void {
  if (fault !== undefined) {
    simulation.remainingFaults[fault] = (simulation.remainingFaults[fault] ?? 0) - 1;
  }
  run(simulation);
}

function getActions(simulation: ActSimulation): Action[] {
  const actions = [
    ...simulation.scenario.submits.flatMap(({ at }, index) =>
      getSubmitActions(simulation, at, index),
    ),
    ...simulation.inFlight.flatMap((item, index) => getInFlightActions(simulation, item, index)),
    ...simulation.scenario.daemons.flatMap((name) => getDaemonActions(simulation, name)),
  ];
  return actions.filter(
    ({ fault }) => fault === undefined || (simulation.remainingFaults[fault] ?? 0) > 0,
  );
}

function getSubmitActions(simulation: ActSimulation, at: string, index: number): Action[] {
  if (simulation.submitted[index] || simulation.daemons[at]?.state === undefined) {
    return [];
  }
  const run = (next: ActSimulation): void => {
    next.submitted[index] = true;
    next.send(at, next.createSubmit(index, String(index), at));
  };
  return [{ name: `submit ${String(index)}`, run }];
}

function getInFlightActions(
  simulation: ActSimulation,
  item: InFlightItem,
  index: number,
): Action[] {
  const duplicate: Action = {
    name: `duplicate ${String(index)}`,
    fault: "duplicate",
    run: (next) => next.inFlight.push(structuredClone(item)),
  };
  switch (item.kind) {
    case "call":
      return [...getCallActions(simulation, item.id, index), duplicate];
    case "send":
      return getServiceActions(simulation, item, index);
    case "result": {
      const isCurrent = simulation.daemons[item.to]?.incarnation === item.incarnation;
      const run = (next: ActSimulation): void => {
        next.inFlight.splice(index, 1);
        if (isCurrent) {
          next.send(item.to, item.message);
        }
      };
      return [{ name: `deliver ${String(index)}`, run }, duplicate];
    }
  }
}

function getCallActions(simulation: ActSimulation, id: string, index: number): Action[] {
  const call = simulation.calls[id];
  if (call === undefined) {
    return [];
  }
  const deliver = (next: ActSimulation): void => {
    next.inFlight.splice(index, 1);
    if (next.daemons[call.to]?.state === undefined) {
      next.loseCall(id);
    } else {
      next.send(call.to, call.message);
    }
  };
  const lose = (next: ActSimulation): void => {
    next.inFlight.splice(index, 1);
    next.loseCall(id);
  };
  return [
    { name: `deliver ${id}`, run: deliver },
    { name: `lose ${id}`, fault: "lose", run: lose },
    // The calling daemon cancels the call, but the call arrives later.
    {
      name: `delay ${id}`,
      fault: "lose",
      run: (next) => {
        next.loseCall(id);
      },
    },
  ];
}

type ServiceSend = Extract<InFlightItem, { kind: "send" }>;

function getServiceActions(simulation: ActSimulation, send: ServiceSend, index: number): Action[] {
  const { from, incarnation, attemptId } = send;
  const actId = attemptId.slice(0, attemptId.lastIndexOf("/"));
  const isAwaited =
    simulation.daemons[from]?.state && simulation.daemons[from].incarnation === incarnation;
  const report = (next: ActSimulation, result: AttemptResult): void => {
    const message: ActsMessage = {
      kind: "attempted",
      actId,
      attemptId,
      result,
      hasOtherHost: true,
    };
    next.inFlight.push({ kind: "result", to: from, incarnation, message });
  };
  const execute = (next: ActSimulation): void => {
    next.inFlight.splice(index, 1);
    next.runCounts[actId] = (next.runCounts[actId] ?? 0) + 1;
    const answer = { status: 201, headers: [], body: new Uint8Array() };
    report(next, { kind: "answered", answer });
  };
  const refuse = (next: ActSimulation): void => {
    next.inFlight.splice(index, 1);
    report(next, { kind: "never-sent" });
  };
  // The connection breaks, but the service runs the act later.
  const lose = (next: ActSimulation): void => {
    next.inFlight[index] = { ...send, incarnation: 0 };
    report(next, { kind: "lost" });
  };
  const run: Action = { name: `run ${attemptId}`, run: execute };
  const refused: Action = { name: `refuse ${attemptId}`, fault: "refuse", run: refuse };
  const lost: Action = { name: `lose ${attemptId}`, fault: "lose", run: lose };
  return isAwaited ? [run, refused, lost] : [run];
}

function getDaemonActions(simulation: ActSimulation, name: string): Action[] {
  const successor = simulation.scenario.daemons[simulation.scenario.daemons.indexOf(name) + 1];
  const daemon = simulation.daemons[name];
  if (daemon?.state === undefined) {
    return [
      {
        name: `restart ${name}`,
        run: (next) => {
          next.start(name);
        },
      },
    ];
  }
  const setClock =
    (clock: number) =>
    (next: ActSimulation): void => {
      Object.assign(next.daemons[name] ?? {}, { clock });
      next.send(name, { kind: "tick" });
    };
  const handOver = (next: ActSimulation): void => {
    const successorName = successor ?? "";
    const incarnation = `i${String(next.daemons[successorName]?.incarnation)}`;
    next.send(name, { kind: "hand-over", successor: { name: successorName, incarnation } });
  };
  const actions: Action[] = [
    {
      name: `kill ${name}`,
      fault: "kill",
      run: (next) => {
        const target = next.daemons[name];
        if (target !== undefined) {
          next.kill(name, target);
        }
      },
    },
    { name: `clock forward ${name}`, fault: "clockForward", run: setClock(2000) },
    { name: `clock back ${name}`, fault: "clockBack", run: setClock(0) },
  ];
  return successor !== undefined
    ? [...actions, { name: `hand over ${name}`, fault: "handOver", run: handOver }]
    : actions;
}
