import { respondWith, type ScriptedUpstream, type Script } from "@pistachioway/standins";
import type { RouterFixture } from "./RouterFixture.js";

/** A router with two upstreams of one service. */
export interface Context {
  upstreams: readonly [ScriptedUpstream, ScriptedUpstream];
  fixture: RouterFixture;
}

/** Gets the number of requests that have reached an upstream. */
export function getArrivals({ upstreams }: Context): number {
  return upstreams.reduce((sum, { received }) => sum + received.length, 0);
}

/** Sets how both upstreams respond. */
export function setScripts({ upstreams }: Context, script: Script): void {
  upstreams.forEach((upstream) => {
    upstream.setScript(script);
  });
}

/** Responds to the first request by one script and to later ones by another. */
export function firstThen(first: Script, later: Script): Script {
  let arrivals = 0;
  return (request, response) => {
    arrivals += 1;
    (arrivals === 1 ? first : later)(request, response);
  };
}

/** Resets the connection instead of responding. */
export const resetConnection: Script = (_request, response) => {
  response.socket?.resetAndDestroy();
};
/** Never responds. */
export const neverRespond: Script = () => undefined;
/** Responds with the id of another request than the one that was sent. */
export const answerOtherRequest: Script = (request, response) => {
  respondWith("stray")({ ...request, id: "q-other" }, response);
};

/**
 * Creates a script that streams a text with neither a length nor chunks and ends with its connection.
 * @param text - Events, the last one possibly incomplete.
 */
export function streamWithoutFraming(text: string): Script {
  return ({ id }, response) => {
    response.socket?.end(
      `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Stamp: stamp-${id}\r\n` +
        `Content-Type: text/event-stream\r\nConnection: close\r\n\r\n${text}`,
    );
  };
}

/**
 * Creates a script that responds like another one and names a limit on the requests of all routers.
 * @param script - Script to respond by.
 * @param getLimit - Gets the text of the limit in requests a second; undefined for none.
 */
export function nameLimit(script: Script, getLimit: () => string | undefined): Script {
  return (request, response) => {
    const limit = getLimit();
    if (limit !== undefined) {
      response.setHeader("server-limit", limit);
    }
    script(request, response);
  };
}

/**
 * Creates a script that refuses the first request and writes the same refusal again as the answer to each later one,
 * although it runs that.
 * @param status - Status of the refusal.
 * @param hasId - Whether the refusal names the request that it belongs to.
 */
export function repeatRefusal(status: number, hasId = true): Script {
  let firstId: string | undefined;
  return ({ id }, response) => {
    firstId ??= id;
    const idHeader = hasId ? { "request-id": firstId } : {};
    response.writeHead(status, { ...idHeader, "not-run": "1", "content-length": 0 });
    response.end();
  };
}

/**
 * Creates a script that writes raw bytes and then ends the connection.
 * @param createText - Creates the text from the request's id.
 * @param end - Whether the connection is closed in order or reset.
 */
export function writeRaw(createText: (id: string) => string, end: "close" | "reset"): Script {
  return ({ id }, response) => {
    const { socket } = response;
    if (end === "close") {
      socket?.end(createText(id));
    } else {
      socket?.write(createText(id), () => socket.resetAndDestroy());
    }
  };
}

/**
 * Creates a script that runs a request and answers it with a status and further headers.
 * @param status - Status of the answer.
 * @param headers - Headers beside the request's id and the upstream's stamp.
 */
export function runAndAnswer(status: number, headers: Record<string, string | string[]>): Script {
  return ({ id }, response) => {
    const own = { "request-id": id, "response-stamp": `stamp-${id}`, "content-length": 0 };
    response.writeHead(status, { ...own, ...headers });
    response.end();
  };
}

/**
 * Creates a script that answers with neither a length nor chunks, and resets the connection right behind its last bytes.
 * @param part - Part of the body.
 * @param type - Content type.
 */
export function resetBehind(part: string, type = "text/plain"): Script {
  const createText = (id: string): string =>
    `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Stamp: stamp-${id}\r\n` +
    `Content-Type: ${type}\r\nConnection: close\r\n\r\n${part}`;
  return writeRaw(createText, "reset");
}

/** Runs a request, and refuses one that names no request where its answer is due. */
export const strayWithoutId: Script = (_request, response) => {
  response.writeHead(400, { "not-run": "1", "content-length": 0 });
  response.end();
};
