import { fetchRequestHandler } from "@trpc/server/adapters/fetch";
import type { Instant } from "@pistachioway/kernel";
import { fastify, type FastifyInstance, type FastifyReply, type FastifyRequest } from "fastify";
import { Result } from "true-myth";
import {
  anyReceiver,
  CallAuthenticator,
  peerHeaders,
  type CallHeaders,
  type WireCall,
} from "./CallAuthenticator.js";
import { createDropCounts, type DropCounts, type DropReason } from "./drops.js";
import { createPeerRouter, type PeerHandlers, type PeerRouter } from "./router.js";

/** What the listener depends on. */
export interface PeerListenerDependencies {
  /** Name of this daemon. */
  readonly daemon: string;
  /** Key that all daemons share. */
  readonly key: string;
  /** Largest body of a call. */
  readonly bodyBytes: number;
  readonly getNow: () => Instant;
  /** Checks whether a daemon is on the host list. */
  readonly isPeer: (name: string) => boolean;
  readonly handlers: PeerHandlers;
  readonly onDropped: (reason: DropReason, from: string) => void;
  readonly onError: (error: unknown) => void;
}

/** Common prefix of the paths of all calls. */
export const callPathPrefix = "/peers";

/** Paths of the calls that change nothing. */
const readOnlyPaths: readonly string[] = [
  "getConfiguration",
  "getHosts",
  "getRevisionDigest",
  "getSigns",
].map((name) => `${callPathPrefix}/${name}`);

const unauthorizedStatus = 401;

/** Owns the listener for the calls of other daemons. */
export class PeerListener {
  private readonly server: FastifyInstance;
  private readonly authenticator: CallAuthenticator;
  private readonly router: PeerRouter;
  private readonly dropped = createDropCounts();
  private address = "";

  private constructor(private readonly dependencies: PeerListenerDependencies) {
    this.authenticator = CallAuthenticator.create(dependencies.key, dependencies.getNow);
    this.router = createPeerRouter(dependencies.handlers);
    this.server = fastify({ bodyLimit: dependencies.bodyBytes, forceCloseConnections: "idle" });
    this.server.removeAllContentTypeParsers();
    this.server.addContentTypeParser("application/json", { parseAs: "string" }, (_, body, done) => {
      done(null, body);
    });
    this.server.post(`${callPathPrefix}/*`, (request, reply) => this.answer(request, reply));
  }

  /**
   * Opens the listener.
   * @param address - IPv4 address and port to listen on; port 0 takes a free one.
   * @param dependencies - What the listener depends on.
   */
  static async create(
    address: string,
    dependencies: PeerListenerDependencies,
  ): Promise<PeerListener> {
    const listener = new PeerListener(dependencies);
    const [host = "127.0.0.1", port = "0"] = address.split(":");
    const url = new URL(await listener.server.listen({ host, port: Number(port) }));
    listener.address = url.host;
    return listener;
  }

  /** Gets the address that the listener is bound to. */
  getAddress(): string {
    return this.address;
  }

  /** Gets the number of calls dropped so far, by reason. */
  getDropCounts(): Readonly<DropCounts> {
    return this.dropped;
  }

  /** Closes the listener after the calls in flight have been answered. */
  async close(): Promise<void> {
    await this.server.close();
  }

  private async answer(request: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
    const headers = getCallHeaders(request);
    const body = typeof request.body === "string" ? request.body : "";
    const call = { method: request.method, path: request.url, body };
    const caller = this.authenticate(headers, call);
    if (caller.isErr) {
      this.dropped[caller.error] += 1;
      this.dependencies.onDropped(caller.error, request.ip);
      return reply.code(unauthorizedStatus).send({ reason: caller.error });
    }
    const response = await this.handle(call, caller.value);
    const text = await response.text();
    const mac = this.authenticator.signAnswer(headers.mac, response.status, text);
    return reply
      .code(response.status)
      .header("content-type", "application/json")
      .header(peerHeaders.mac, mac)
      .send(text);
  }

  private authenticate(headers: CallHeaders, call: WireCall): Result<string, DropReason> {
    const { daemon } = this.dependencies;
    const isReadOnly = readOnlyPaths.includes(call.path);
    const receivers = isReadOnly ? [daemon, anyReceiver] : [daemon];
    const caller = this.authenticator.verify(headers, receivers, call);
    return caller.andThen((name) => this.checkListed(name, isReadOnly));
  }

  /** Read-only calls are open to unlisted daemons that hold the key, as one that just started. */
  private checkListed(name: string, isReadOnly: boolean): Result<string, DropReason> {
    return isReadOnly || this.dependencies.isPeer(name) ? Result.ok(name) : Result.err("unlisted");
  }

  private async handle(call: WireCall, from: string): Promise<Response> {
    const req = new Request(`http://peer${call.path}`, {
      method: call.method,
      headers: { "content-type": "application/json" },
      body: call.body,
    });
    return await fetchRequestHandler({
      endpoint: callPathPrefix,
      req,
      router: this.router,
      createContext: () => ({ from }),
      onError: ({ error }) => {
        this.dependencies.onError(error);
      },
    });
  }
}

function getCallHeaders(request: FastifyRequest): CallHeaders {
  const get = (name: string): string => {
    const value = request.headers[name];
    return typeof value === "string" ? value : "";
  };
  return { from: get(peerHeaders.from), at: get(peerHeaders.at), mac: get(peerHeaders.mac) };
}
