/** Explores every reachable state of an `ActWorld` and checks what must hold in each. */
import type { ActsMessage, AttemptResult } from "@pistachioway/kernel";
import { ActWorld, type ActCase, type Fault, type Parcel } from "./ActWorld.js";

interface Action {
  readonly name: string;
  readonly fault?: Fault;
  readonly run: (world: ActWorld) => void;
}

/** What an exploration found. */
export interface Exploration {
  readonly states: number;
  /** Outcomes told to all requests at the ends of runs. */
  readonly endings: readonly string[];
  readonly violation?: string;
}

/** Explores all interleavings of a case up to its first violation. */
export function explore(plan: ActCase): Exploration {
  const first = ActWorld.create(plan).getImage();
  const seen = new Set([first.toString("latin1")]);
  const endings = new Set<string>();
  const stack = [first];
  for (let image = stack.pop(); image !== undefined; image = stack.pop()) {
    const world = ActWorld.restore(plan, image);
    const actions = getActions(world);
    const isAtRest = actions.every(({ fault }) => fault !== undefined);
    const violation = getViolation(world, isAtRest);
    if (violation !== undefined) {
      return { states: seen.size, endings: [], violation };
    }
    if (isAtRest) {
      endings.add(world.told.map(([outcome]) => outcome).join(","));
    }
    for (const action of actions) {
      const next = ActWorld.restore(plan, image);
      runAction(next, action);
      addImage(next.getImage(), seen, stack);
    }
  }
  return { states: seen.size, endings: [...endings].sort() };
}

function addImage(image: Buffer, seen: Set<string>, stack: Buffer[]): void {
  const key = image.toString("latin1");
  if (!seen.has(key)) {
    seen.add(key);
    stack.push(image);
  }
}

/** Runs one way through a case, each step chosen by a number, and returns its violation if any. */
export function runWalk(plan: ActCase, choices: readonly number[]): string | undefined {
  const world = ActWorld.create(plan);
  for (const choice of choices) {
    const actions = getActions(world);
    const action = actions[choice % Math.max(actions.length, 1)];
    if (action !== undefined) {
      runAction(world, action);
    }
    const violation = getViolation(world, actions.length === 0);
    if (violation !== undefined) {
      return violation;
    }
  }
  return undefined;
}

function getViolation(world: ActWorld, isAtRest: boolean): string | undefined {
  if (Object.values(world.runs).some((count) => count > 1)) {
    return "ran twice";
  }
  const [issuer = ""] = world.plan.daemons;
  const isFalse = world.plan.submits.some(
    ({ key }, index) =>
      world.told[index]?.includes("not-run") && world.runs[`${issuer}/i1/${String(key)}`],
  );
  if (isFalse) {
    return "not-run, but it ran";
  }
  if (world.told.some(({ length }) => length > 1)) {
    return "answered twice";
  }
  const isOpen = world.told.some(({ length }, index) => world.submitted[index] && length === 0);
  return isAtRest && isOpen ? "not answered" : undefined;
}

function runAction(world: ActWorld, { fault, run }: Action): void {
  if (fault !== undefined) {
    world.faultsLeft[fault] = (world.faultsLeft[fault] ?? 0) - 1;
  }
  run(world);
}

function getActions(world: ActWorld): Action[] {
  const actions = [
    ...world.plan.submits.flatMap(({ at }, index) => getSubmitActions(world, at, index)),
    ...world.parcels.flatMap((parcel, index) => getParcelActions(world, parcel, index)),
    ...world.plan.daemons.flatMap((name) => getDaemonActions(world, name)),
  ];
  return actions.filter(({ fault }) => fault === undefined || (world.faultsLeft[fault] ?? 0) > 0);
}

function getSubmitActions(world: ActWorld, at: string, index: number): Action[] {
  if (world.submitted[index] || world.daemons[at]?.state === undefined) {
    return [];
  }
  const run = (next: ActWorld): void => {
    next.submitted[index] = true;
    next.send(at, next.createSubmit(index, String(index), at));
  };
  return [{ name: `submit ${String(index)}`, run }];
}

function getParcelActions(world: ActWorld, parcel: Parcel, index: number): Action[] {
  const duplicate: Action = {
    name: `duplicate ${String(index)}`,
    fault: "duplicate",
    run: (next) => next.parcels.push(structuredClone(parcel)),
  };
  switch (parcel.kind) {
    case "call":
      return [...getCallActions(world, parcel.id, index), duplicate];
    case "work":
      return getWorkActions(world, parcel, index);
    case "result": {
      const isCurrent = world.daemons[parcel.to]?.incarnation === parcel.incarnation;
      const run = (next: ActWorld): void => {
        next.parcels.splice(index, 1);
        if (isCurrent) {
          next.send(parcel.to, parcel.message);
        }
      };
      return [{ name: `deliver ${String(index)}`, run }, duplicate];
    }
  }
}

function getCallActions(world: ActWorld, id: string, index: number): Action[] {
  const call = world.calls[id];
  if (call === undefined) {
    return [];
  }
  const deliver = (next: ActWorld): void => {
    next.parcels.splice(index, 1);
    if (next.daemons[call.to]?.state === undefined) {
      next.loseCall(id);
    } else {
      next.send(call.to, call.message);
    }
  };
  const lose = (next: ActWorld): void => {
    next.parcels.splice(index, 1);
    next.loseCall(id);
  };
  return [
    { name: `deliver ${id}`, run: deliver },
    { name: `lose ${id}`, fault: "lose", run: lose },
    // The caller gives the call up, and it arrives later.
    {
      name: `delay ${id}`,
      fault: "lose",
      run: (next) => {
        next.loseCall(id);
      },
    },
  ];
}

type Work = Extract<Parcel, { kind: "work" }>;

function getWorkActions(world: ActWorld, work: Work, index: number): Action[] {
  const { from, incarnation, attemptId } = work;
  const actId = attemptId.slice(0, attemptId.lastIndexOf("/"));
  const isAwaited = world.daemons[from]?.state && world.daemons[from].incarnation === incarnation;
  const report = (next: ActWorld, result: AttemptResult): void => {
    const message: ActsMessage = {
      kind: "attempted",
      actId,
      attemptId,
      result,
      hasOtherHost: true,
    };
    next.parcels.push({ kind: "result", to: from, incarnation, message });
  };
  const execute = (next: ActWorld): void => {
    next.parcels.splice(index, 1);
    next.runs[actId] = (next.runs[actId] ?? 0) + 1;
    const answer = { status: 201, headers: [], body: new Uint8Array() };
    report(next, { kind: "answered", answer });
  };
  const refuse = (next: ActWorld): void => {
    next.parcels.splice(index, 1);
    report(next, { kind: "never-sent" });
  };
  // The connection breaks, and the service runs the act later.
  const lose = (next: ActWorld): void => {
    next.parcels[index] = { ...work, incarnation: 0 };
    report(next, { kind: "lost" });
  };
  const run: Action = { name: `run ${attemptId}`, run: execute };
  const refused: Action = { name: `refuse ${attemptId}`, fault: "refuse", run: refuse };
  const lost: Action = { name: `lose ${attemptId}`, fault: "lose", run: lose };
  return isAwaited ? [run, refused, lost] : [run];
}

function getDaemonActions(world: ActWorld, name: string): Action[] {
  const successor = world.plan.daemons[world.plan.daemons.indexOf(name) + 1];
  const daemon = world.daemons[name];
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
    (next: ActWorld): void => {
      Object.assign(next.daemons[name] ?? {}, { clock });
      next.send(name, { kind: "tick" });
    };
  const handOver = (next: ActWorld): void => {
    const heir = successor ?? "";
    const incarnation = `i${String(next.daemons[heir]?.incarnation)}`;
    next.send(name, { kind: "hand-over", successor: { name: heir, incarnation } });
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
