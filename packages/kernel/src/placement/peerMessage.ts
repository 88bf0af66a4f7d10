import { z } from "zod";

const hashSchema = z.int().min(0).max(0xffffffff);
const countSchema = z.int().min(0).max(0xffffff);

const engineCountSchema = z.object({ engine: hashSchema, count: countSchema });
const modelCountSchema = z.object({ model: hashSchema, count: countSchema });

const reservationSchema = z.object({
  id: hashSchema,
  engine: hashSchema,
  model: hashSchema,
  /** Hash of a returning chat whose place the sender does not know; 0 when it need not be looked up. */
  chat: hashSchema,
  /** True when the request has nothing to reuse and takes room below the mean only. */
  level: z.boolean(),
});

const reservationAnswerSchema = z.object({
  id: hashSchema,
  outcome: z.enum(["granted", "refused", "redirected", "unknown"]),
  /** Engine that was granted, refused, is unknown, or is to be tried instead. */
  engine: hashSchema,
  /** Running requests on the engine as its owner counts them. */
  count: countSchema,
});

const chatMoveSchema = z.object({ chat: hashSchema, engine: hashSchema });

/**
 * A datagram between the placement plug-ins of two daemons. Counts are absolute, so that a lost,
 * repeated or late datagram does no lasting harm. Engines, models and chats are named by hash.
 */
export const placementPeerMessageSchema = z.object({
  /** Rises with each message of the sender, modulo 2^32. */
  sequence: hashSchema,
  /** The sender's running requests on every engine that it believes the receiver owns. */
  counts: z.array(engineCountSchema).max(4096).nullable(),
  /** The sender's running requests on the engines that serve each model. */
  totals: z.array(modelCountSchema).max(256),
  /** Counts of the engines that the sender owns, in digests only. */
  claims: z.array(engineCountSchema).max(4096).nullable(),
  reservations: z.array(reservationSchema).max(256),
  answers: z.array(reservationAnswerSchema).max(256),
  /** Chats that now live at an engine other than their first choice, which the receiver owns. */
  moves: z.array(chatMoveSchema).max(256),
});

export type EngineCount = z.infer<typeof engineCountSchema>;
export type ModelCount = z.infer<typeof modelCountSchema>;
export type Reservation = z.infer<typeof reservationSchema>;
export type ReservationAnswer = z.infer<typeof reservationAnswerSchema>;
export type ChatMove = z.infer<typeof chatMoveSchema>;
export type PlacementPeerMessage = z.infer<typeof placementPeerMessageSchema>;
