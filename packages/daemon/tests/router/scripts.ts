import { respondWith, type ScriptedUpstream, type Script } from "@pistachioway/standins";
import type { Site } from "./Site.js";

/** A router before two upstreams of one service. */
export interface Context {
  upstreams: readonly [ScriptedUpstream, ScriptedUpstream];
  site: Site;
}

/** Gets the number of requests that have reached an upstream. */
export function getArrivals({ upstreams }: Context): number {
  return upstreams.reduce((sum, { received }) => sum + received.length, 0);
}

/** Sets how both upstreams answer. */
export function setScripts({ upstreams }: Context, script: Script): void {
  upstreams.forEach((upstream) => {
    upstream.setScript(script);
  });
}

/** Answers the first arrival by one script and the later ones by another. */
export function firstThen(first: Script, later: Script): Script {
  let arrivals = 0;
  return (request, response) => {
    arrivals += 1;
    (arrivals === 1 ? first : later)(request, response);
  };
}

/** Breaks the connection instead of answering. */
export const loseAnswer: Script = (_request, response) => {
  response.socket?.resetAndDestroy();
};
/** Never answers. */
export const stayMute: Script = () => undefined;
/** Answers another request than the one that was sent. */
export const answerForOther: Script = (request, response) => {
  respondWith("stray")({ ...request, id: "q-other" }, response);
};
