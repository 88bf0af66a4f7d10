// Runs the script of a case: 1 when the rule was broken, 0 when it held, 2 when the case could not run.
import { Installation } from "./installation.mjs";

const limitMilliseconds = 115_000;

/**
 * Runs a case. `play` gets the installation and whether there is trouble, and resolves with what broke the rule, or with
 * an empty list. It throws when the case could not run.
 */
export async function runCase(folder, play) {
  const installation = new Installation(folder);
  const hasTrouble = process.env.TROUBLE !== "0";
  const end = (code) => {
    installation.close();
    setTimeout(() => process.exit(code), 300);
  };
  setTimeout(() => {
    console.log("could not run: the time is over");
    end(2);
  }, limitMilliseconds).unref();
  try {
    const findings = await play(installation, hasTrouble);
    findings.forEach((finding) => {
      installation.record(`broken: ${finding}`);
      console.log(`broken: ${finding}`);
    });
    console.log(findings.length > 0 ? "the rule was broken" : "the rule held");
    end(findings.length > 0 ? 1 : 0);
  } catch (error) {
    installation.record(`could not run: ${error.stack}`);
    console.log(`could not run: ${error.message}`);
    end(2);
  }
}

/** Sends requests one after another over the kept channel of one client, until `isOver` says so. */
export async function sendRepeatedly(client, isOver, createRequest, pause) {
  const seen = [];
  while (!isOver()) {
    seen.push(await client.send(createRequest()));
    await new Promise((resolve) => setTimeout(resolve, pause));
  }
  client.close();
  return seen;
}
