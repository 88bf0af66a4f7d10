import { z } from "zod";

const hashSchema = z.int().min(0).max(0xffffffff);
const countSchema = z.int().min(0).max(0xffffff);

const engineCountSchema = z.object({ engine: hashSchema, count: countSchema });
const modelCountSchema = z.object({ model: hashSchema, count: countSchema });

const reservationSchema = z.object({
  id: hashSchema,
  engine: hashSchema,
  model: hashSchema,
  /** Hash of a returning chat whose engine the sender doesn't know, or 0 to skip the lookup. */
  chat: hashSchema,
  /** True when the limit of the request is the mean load instead of the load bound. */
  level: z.boolean(),
});

const reservationAnswerSchema = z.object({
  id: hashSchema,
  outcome: z.enum(["granted", "refused", "redirected", "unknown"]),
  /** Engine that is granted, refused, unknown, or to be tried instead. */
  engine: hashSchema,
  /** Running requests on the engine as its owner counts them. */
  count: countSchema,
});

const chatMoveSchema = z.object({ chat: hashSchema, engine: hashSchema });

/**
 * A message between the placement plug-ins of two daemons, sent as a datagram. Counts are absolute,
 * so that the next message corrects the effects of a lost, repeated or delayed one. Engines, models
 * and chats are identified by hash.
 */
export const placementPeerMessageSchema = z.object({
  /** Increases with each message of the sender, modulo 2^32. */
  sequence: hashSchema,
  /** The sender's running requests on each engine that, in its view, the receiver owns. */
  counts: z.array(engineCountSchema).max(4096).nullable(),
  /** The sender's running requests on the engines that serve each model. */
  totals: z.array(modelCountSchema).max(256),
  /** Counts of the engines that the sender owns; only in periodic gossip messages. */
  claims: z.array(engineCountSchema).max(4096).nullable(),
  reservations: z.array(reservationSchema).max(256),
  answers: z.array(reservationAnswerSchema).max(256),
  /** Chats that moved off their first candidate, which is an engine that the receiver owns. */
  moves: z.array(chatMoveSchema).max(256),
});

export type EngineCount = z.infer<typeof engineCountSchema>;
export type ModelCount = z.infer<typeof modelCountSchema>;
export type Reservation = z.infer<typeof reservationSchema>;
export type ReservationAnswer = z.infer<typeof reservationAnswerSchema>;
export type ChatMove = z.infer<typeof chatMoveSchema>;
export type PlacementPeerMessage = z.infer<typeof placementPeerMessageSchema>;
