/** Address of this host that the engines listen on; nothing else does. */
export const engineHost = "127.0.0.200";
