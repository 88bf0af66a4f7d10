import { initTRPC } from "@trpc/server";
import {
  hostListSchema,
  packHealthReports,
  revisionAnnouncementSchema,
  revisionSchema,
  type HostList,
  type HealthReport,
  type Revision,
  type RevisionAnnouncement,
} from "@pistachioway/kernel";
import { Packr } from "msgpackr";
import { z } from "zod";
import {
  forwardedActSchema,
  forwardedAnswerSchema,
  type ForwardedAct,
  type ForwardedAnswer,
} from "../acts/schema.js";
import {
  handOverAnswerSchema,
  handOverSchema,
  peerConfigurationSchema,
  revisionRequestSchema,
  type HandOver,
  type HandOverAnswer,
  type PeerConfiguration,
  type RevisionRequest,
} from "./schema.js";

/** Handlers of the calls of peers; `from` is the name of the calling peer. */
export interface PeerHandlers {
  /** Runs or answers an act whose key this daemon issued or adopted. */
  readonly forwardAct: (act: ForwardedAct, from: string) => Promise<ForwardedAnswer>;
  /** Adopts the table of a daemon that stops. */
  readonly adoptActs: (handOver: HandOver, from: string) => Promise<HandOverAnswer>;
  /** Gets the text of a configuration that this daemon announced. */
  readonly getConfiguration: (revision: Revision, from: string) => Promise<PeerConfiguration>;
  /** Gets the newest host list, for a peer that cannot read the platform. */
  readonly getHosts: (request: RevisionRequest, from: string) => Promise<HostList | null>;
  /** Gets what this daemon announces of its configuration, for a peer that gets no gossip yet. */
  readonly getRevisionAnnouncement: (from: string) => Promise<RevisionAnnouncement>;
  /** Gets all health reports that this daemon holds, for a peer that was paused. */
  readonly getHealthReports: (from: string) => Promise<HealthReport[]>;
}

const packr = new Packr({ useRecords: false });

/** Encodes values as MessagePack in base64, as JSON has no bytes. */
export const transformer = {
  serialize: (value: unknown): string => packr.pack(value).toString("base64"),
  deserialize: (text: string): unknown => packr.unpack(Buffer.from(text, "base64")),
};

interface CallContext {
  readonly from: string;
}

const trpc = initTRPC.context<CallContext>().create({ transformer });

/**
 * Creates the tRPC router for the calls of peers.
 * @param handlers - Handlers of the calls.
 */
export function createPeerRouter(handlers: PeerHandlers) {
  return trpc.router({
    forwardAct: trpc.procedure
      .input(forwardedActSchema)
      .output(forwardedAnswerSchema)
      .mutation(({ input, ctx }) => handlers.forwardAct(input, ctx.from)),
    adoptActs: trpc.procedure
      .input(handOverSchema)
      .output(handOverAnswerSchema)
      .mutation(({ input, ctx }) => handlers.adoptActs(input, ctx.from)),
    getConfiguration: trpc.procedure
      .input(revisionSchema)
      .output(peerConfigurationSchema)
      .mutation(({ input, ctx }) => handlers.getConfiguration(input, ctx.from)),
    getHosts: trpc.procedure
      .input(revisionRequestSchema)
      .output(hostListSchema.nullable())
      .mutation(({ input, ctx }) => handlers.getHosts(input, ctx.from)),
    getRevisionDigest: trpc.procedure
      .output(revisionAnnouncementSchema)
      .mutation(({ ctx }) => handlers.getRevisionAnnouncement(ctx.from)),
    getSigns: trpc.procedure
      .output(z.array(z.union([z.string(), z.number()])))
      .mutation(async ({ ctx }) => packHealthReports(await handlers.getHealthReports(ctx.from))),
  });
}

export type PeerRouter = ReturnType<typeof createPeerRouter>;
