import { ReadPacer } from "@pistachioway/daemon";
import { suite } from "uvu";
import * as assert from "uvu/assert";

/** A pacer under a clock that the test moves, with connections that record what happens to them. */
class PacedConnections {
  readonly events: string[] = [];
  readonly pacer: ReadPacer;
  private now = 0;
  private readonly rounds: (() => void)[] = [];

  private constructor() {
    this.pacer = ReadPacer.create({
      getNow: () => this.now,
      schedule: (_milliseconds, run) => this.rounds.push(run),
    });
  }

  static create(): PacedConnections {
    return new PacedConnections();
  }

  add(name: string) {
    return this.pacer.addTurn(
      () => this.events.push(`pause ${name}`),
      () => this.events.push(`resume ${name}`),
    );
  }

  wait(milliseconds: number): void {
    this.now += milliseconds;
  }

  /** Runs the round that is due, and gets what happened since the last call. */
  runRound(): readonly string[] {
    this.rounds.shift()?.();
    return this.takeEvents();
  }

  takeEvents(): readonly string[] {
    return this.events.splice(0);
  }
}

const test = suite("ReadPacer");

// Guards against one sender that takes the time of all others (review case 3).
test("connections that bring too much are read on in turn, a few a round", () => {
  const connections = PacedConnections.create();
  const turns = ["a", "b", "c"].map((name) => connections.add(name));
  turns.forEach((turn) => {
    turn.addPiece(65_536);
  });
  assert.equal(connections.takeEvents(), ["pause a", "pause b", "pause c"]);
  assert.is(connections.pacer.getWaitingCount(), 3);
  assert.equal(connections.runRound(), ["resume a", "resume b"]);
  turns[0]?.addPiece(65_536);
  assert.equal(connections.takeEvents(), ["pause a"]);
  assert.equal(connections.runRound(), ["resume c", "resume a"]);
  assert.equal(connections.runRound(), []);
});

test("small pieces count as more than their bytes", () => {
  const connections = PacedConnections.create();
  const turn = connections.add("a");
  let pieces = 0;
  while (connections.events.length === 0) {
    turn.addPiece(4);
    pieces += 1;
  }
  assert.is(pieces, 253);
});

test("a stream at the pace of an engine is never paused", () => {
  const connections = PacedConnections.create();
  const turn = connections.add("a");
  for (let event = 0; event < 10_000; event += 1) {
    turn.addPiece(65);
    connections.wait(10);
  }
  assert.equal(connections.takeEvents(), []);
});

test("an answer that has ended takes no turn", () => {
  const connections = PacedConnections.create();
  const [first, second, third] = ["a", "b", "c"].map((name) => connections.add(name));
  [first, second, third].forEach((turn) => turn?.addPiece(100_000));
  first?.end();
  connections.takeEvents();
  assert.equal(connections.runRound(), ["resume b", "resume c"]);
  first?.addPiece(100_000);
  assert.equal(connections.takeEvents(), []);
});

// Guards against connections that nobody reads on, as the turn before theirs threw (issue 45).
test("connections are read on although one before them fails", () => {
  const connections = PacedConnections.create();
  const failing = connections.pacer.addTurn(
    () => undefined,
    () => {
      throw new Error("broken");
    },
  );
  const turns = ["a", "b"].map((name) => connections.add(name));
  [failing, ...turns].forEach((turn) => {
    turn.addPiece(65_536);
  });
  connections.takeEvents();
  const events: string[] = [];
  for (let round = 0; round < 3; round += 1) {
    try {
      events.push(...connections.runRound());
    } catch (error) {
      events.push(String(error));
    }
  }
  assert.equal(
    events.filter((event) => event.startsWith("resume")),
    ["resume a", "resume b"],
  );
});

test.run();
