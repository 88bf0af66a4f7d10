import {
  actsPlugin,
  Kernel,
  type ActGuard,
  type ActLimits,
  type ActPeer,
  type ActsEffect,
  type ActsMessage,
  type ActSubmit,
} from "@pistachioway/kernel";

export const peers: readonly ActPeer[] = [{ name: "d1" }, { name: "d2" }, { name: "d3" }];
export const keyExpiresAt = 1000;

/** Kernel of one daemon, with methods for the messages that the tests send repeatedly. */
export class ActDaemon {
  private readonly kernel = Kernel.create(1);
  private nextRequest = 0;

  private constructor(
    readonly name: string,
    readonly incarnation: string,
  ) {}

  static create(
    name: string,
    incarnation = "i1",
    disabledGuards: readonly ActGuard[] = [],
    limits: Partial<ActLimits> = {},
    secretSeed = `${name}/${incarnation}`,
  ): ActDaemon {
    const daemon = new ActDaemon(name, incarnation);
    const secret = new TextEncoder().encode(secretSeed.padEnd(16, "."));
    daemon.send({ kind: "start", daemon: name, incarnation, secret, disabledGuards, limits });
    return daemon;
  }

  send(message: ActsMessage, now = 0): readonly ActsEffect[] {
    return this.kernel.send(actsPlugin, message, now);
  }

  get state(): ReturnType<typeof actsPlugin.createState> {
    return this.kernel.getStateOrThrow(actsPlugin);
  }

  issueKey(expiresAt = keyExpiresAt): string {
    const [effect] = this.send({ kind: "mint", requestId: "mint", expiresAt });
    if (effect?.kind !== "minted") {
      throw new TypeError(`daemon "${this.name}" issued no key`);
    }
    return effect.key;
  }

  submit(key: string | undefined, now = 0, fields: Partial<ActSubmit> = {}): readonly ActsEffect[] {
    this.nextRequest += 1;
    const requestId = `${this.name}-r${String(this.nextRequest)}`;
    return this.send(
      {
        kind: "submit",
        requestId,
        key,
        expiresAt: keyExpiresAt,
        fingerprint: "f",
        service: "meals",
        deadline: 10_000,
        peers: peers.filter(({ name }) => name !== this.name),
        ...fields,
      },
      now,
    );
  }
}

/** Describes each effect in one line. */
export function describe(effects: readonly ActsEffect[]): string[] {
  return effects.map((effect) => describeEffect(effect));
}

function describeEffect(effect: ActsEffect): string {
  switch (effect.kind) {
    case "send":
      return `send ${effect.attemptId}`;
    case "answer":
      return `answer ${effect.requestId} ${describeRecord(effect)}`;
    case "reject":
      return `reject ${effect.requestId} ${effect.error.code} ${effect.error.outcome}`;
    case "forward":
    case "moved":
      return `${effect.kind} ${effect.requestId} ${effect.to}`;
    case "transfer":
      return `transfer ${effect.successor.name} ${String(effect.table.acts.length)} acts`;
    case "adopted":
      return `adopted ${effect.issuer}/${effect.incarnation}`;
    case "wait":
    case "minted":
      return `${effect.kind} ${effect.requestId}`;
  }
}

function describeRecord({ record }: Extract<ActsEffect, { kind: "answer" }>): string {
  if (record.state === "done") {
    return `done ${new TextDecoder().decode(record.answer?.body)}`;
  }
  return record.state;
}

/** Creates the message that reports the end of an attempt. */
export function createAttempted(
  attemptId: string,
  kind: "answered" | "never-sent" | "refused-by-upstream" | "lost",
  hasOtherHost = false,
): ActsMessage {
  const actId = attemptId.slice(0, attemptId.lastIndexOf("/"));
  const body = new TextEncoder().encode(`ran ${attemptId}`);
  const result =
    kind === "answered" ? { kind, answer: { status: 201, headers: [], body } } : { kind };
  return { kind: "attempted", actId, attemptId, result, hasOtherHost };
}
