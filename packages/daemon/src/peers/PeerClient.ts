import {
  collectText,
  parseHealthReports,
  type HostList,
  type HealthReport,
  type Instant,
  type Revision,
  type RevisionAnnouncement,
} from "@pistachioway/kernel";
import { createTRPCClient, httpLink, TRPCClientError, type TRPCClient } from "@trpc/client";
import { Result } from "true-myth";
import { Agent, fetch } from "undici";
import type { ForwardedAct, ForwardedAnswer } from "../acts/schema.js";
import { isNeverSent } from "../upstreams/index.js";
import { CallAuthenticator, peerHeaders } from "./CallAuthenticator.js";
import {
  PeerCallError,
  PeerForgedError,
  PeerLostError,
  PeerRefusedError,
  PeerTimeoutError,
  PeerUnreachableError,
} from "./errors/index.js";
import { callPathPrefix } from "./PeerListener.js";
import { transformer, type PeerRouter } from "./router.js";
import type { HandOver, HandOverAnswer, PeerConfiguration, RevisionRequest } from "./schema.js";

/** A daemon to call. */
export interface Peer {
  /** Its name; empty for a seed of unknown name, which then answers only read-only calls. */
  readonly name: string;
  /** Address of its listener for calls between daemons. */
  readonly peerAddress: string;
}

/** What the client depends on. */
export interface PeerClientDependencies {
  /** Name of this daemon. */
  readonly daemon: string;
  /** Start of this daemon, in milliseconds since the epoch. */
  readonly incarnation: number;
  /** Key that all daemons share. */
  readonly key: string;
  readonly getNow: () => Instant;
}

/** The answer of a peer, or the reason why there is none. */
export type PeerResult<Answer> = Promise<Result<Answer, PeerCallError>>;

const connectTimeoutMilliseconds = 1_000;
const idleTimeoutMilliseconds = 30_000;
const connectionsPerPeer = 64;
const unauthorizedStatus = 401;

type Client = TRPCClient<PeerRouter>;
type Fetch = NonNullable<Parameters<typeof httpLink<PeerRouter>>[0]["fetch"]>;

/** Calls other daemons over persistent connections. */
export class PeerClient {
  private readonly authenticator: CallAuthenticator;
  private readonly agent = new Agent({
    connections: connectionsPerPeer,
    pipelining: 1,
    connect: { timeout: connectTimeoutMilliseconds },
    keepAliveTimeout: idleTimeoutMilliseconds,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  private sequence = 0;

  private constructor(private readonly dependencies: PeerClientDependencies) {
    this.authenticator = CallAuthenticator.create(dependencies.key, dependencies.getNow);
  }

  /**
   * Creates a client without opening a connection.
   * @param dependencies - What the client depends on.
   */
  static create(dependencies: PeerClientDependencies): PeerClient {
    return new PeerClient(dependencies);
  }

  /**
   * Forwards an act to the daemon that holds the table of its key.
   * @param peer - Daemon to call.
   * @param act - The act.
   * @param deadline - When to stop waiting.
   */
  async forwardAct(peer: Peer, act: ForwardedAct, deadline: Instant): PeerResult<ForwardedAnswer> {
    return await this.call(peer, deadline, (client, signal) => {
      return client.forwardAct.mutate(act, { signal });
    });
  }

  /**
   * Hands a table of acts over to the daemon that is to adopt it.
   * @param peer - Daemon to call.
   * @param handOver - The table and its successor.
   * @param deadline - When to stop waiting.
   */
  async adoptActs(peer: Peer, handOver: HandOver, deadline: Instant): PeerResult<HandOverAnswer> {
    return await this.call(peer, deadline, (client, signal) => {
      return client.adoptActs.mutate(handOver, { signal });
    });
  }

  /**
   * Gets the text of a configuration that a peer announced.
   * @param peer - Daemon to call.
   * @param revision - Revision that it announced.
   * @param deadline - When to stop waiting.
   */
  async getConfiguration(
    peer: Peer,
    revision: Revision,
    deadline: Instant,
  ): PeerResult<PeerConfiguration> {
    return await this.call(peer, deadline, (client, signal) => {
      return client.getConfiguration.mutate(revision, { signal });
    });
  }

  /**
   * Gets a peer's host list, if it is newer.
   * @param peer - Daemon to call.
   * @param request - Revision that is known.
   * @param deadline - When to stop waiting.
   */
  async getHosts(
    peer: Peer,
    request: RevisionRequest,
    deadline: Instant,
  ): PeerResult<HostList | null> {
    return await this.call(peer, deadline, (client, signal) => {
      return client.getHosts.mutate(request, { signal });
    });
  }

  /**
   * Gets what a peer announces of its configuration.
   * @param peer - Daemon to call.
   * @param deadline - When to stop waiting.
   */
  async getRevisionAnnouncement(peer: Peer, deadline: Instant): PeerResult<RevisionAnnouncement> {
    return await this.call(peer, deadline, (client, signal) => {
      return client.getRevisionDigest.mutate(undefined, { signal });
    });
  }

  /**
   * Gets all health reports about upstream hosts that a peer holds.
   * @param peer - Daemon to call.
   * @param deadline - When to stop waiting.
   */
  async getHealthReports(peer: Peer, deadline: Instant): PeerResult<HealthReport[]> {
    return await this.call(peer, deadline, async (client, signal) => {
      return parseHealthReports(await client.getSigns.mutate(undefined, { signal }));
    });
  }

  /** Closes every connection at once. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }

  private async call<Answer>(
    peer: Peer,
    deadline: Instant,
    send: (client: Client, signal: AbortSignal) => Promise<Answer>,
  ): PeerResult<Answer> {
    const signal = AbortSignal.timeout(Math.max(0, deadline - this.dependencies.getNow()));
    try {
      return Result.ok(await send(this.createClient(peer), signal));
    } catch (error) {
      return Result.err(toPeerCallError(peer.name, error, signal.aborted));
    }
  }

  private createClient(peer: Peer): Client {
    const url = `http://${peer.peerAddress}${callPathPrefix}`;
    const link = httpLink<PeerRouter>({
      url,
      transformer,
      fetch: (input, init) => this.fetch(peer, input, init),
    });
    return createTRPCClient<PeerRouter>({ links: [link] });
  }

  /** Sends a signed call and verifies that the answer was signed by the peer for this call. */
  private async fetch(
    peer: Peer,
    input: Parameters<Fetch>[0],
    init: Parameters<Fetch>[1],
  ): Promise<Response> {
    const url = new URL(input instanceof Request ? input.url : input);
    const body = typeof init?.body === "string" ? init.body : "";
    const call = { method: "POST", path: url.pathname + url.search, body };
    const { from, at, mac } = this.authenticator.sign(this.createCallerId(), peer.name, call);
    const headers = {
      "content-type": "application/json",
      [peerHeaders.from]: from,
      [peerHeaders.at]: at,
      [peerHeaders.mac]: mac,
    };
    const signal = init?.signal ?? null;
    const options = { method: "POST", headers, body, signal, dispatcher: this.agent };
    const answer = await fetch(url, options);
    const text = answer.body === null ? "" : await collectText(answer.body);
    const answerMac = answer.headers.get(peerHeaders.mac) ?? "";
    if (answer.status === unauthorizedStatus && answerMac === "") {
      throw new PeerRefusedError(peer.name, text);
    }
    if (!this.authenticator.isAuthenticAnswer(answerMac, mac, answer.status, text)) {
      throw new PeerForgedError(peer.name);
    }
    return new Response(text, { status: answer.status });
  }

  private createCallerId(): string {
    this.sequence += 1;
    return `${this.dependencies.daemon}/${String(this.dependencies.incarnation)}/${String(this.sequence)}`;
  }
}

function toPeerCallError(peer: string, error: unknown, isTimeout: boolean): PeerCallError {
  const causes = getCauses(error);
  const known = causes.find((cause) => cause instanceof PeerCallError);
  if (known !== undefined) {
    return known;
  }
  if (isTimeout) {
    return new PeerTimeoutError(peer, { cause: error });
  }
  if (causes.some(isNeverSent)) {
    return new PeerUnreachableError(peer, { cause: error });
  }
  if (error instanceof TRPCClientError && error.shape !== undefined) {
    return new PeerRefusedError(peer, error.message, { cause: error });
  }
  return new PeerLostError(peer, { cause: error });
}

function getCauses(error: unknown): unknown[] {
  return error instanceof Error ? [error, ...getCauses(error.cause)] : [error];
}
