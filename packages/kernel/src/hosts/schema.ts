import { z } from "zod";

const address = z.string().regex(/^[0-9.]+:\d{1,5}$/, "must be an IPv4 address and a port");

const hostSchema = z.strictObject({
  name: z.string().min(1),
  role: z.enum(["entry", "engine", "service"]),
  zone: z.string().min(1),
  state: z.enum(["live", "leaving"]),
  /** Listener for requests: of callers on an entry host, of routers on an upstream host. */
  address,
  /** Listener for calls between daemons; entry hosts only. */
  peerAddress: address.optional(),
  /** Listener for datagrams between daemons; entry hosts only. */
  datagramAddress: address.optional(),
  /** Listener for operators; entry hosts only. */
  operationsAddress: address.optional(),
});

/** The platform's list of live and leaving hosts. It lags behind their actual state. */
export const hostListSchema = z.strictObject({
  revision: z.int().min(0),
  hosts: z.array(hostSchema),
});

export type Host = z.infer<typeof hostSchema>;
export type HostList = z.infer<typeof hostListSchema>;
