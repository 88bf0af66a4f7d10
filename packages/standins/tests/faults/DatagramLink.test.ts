import { createSocket, type Socket } from "node:dgram";
import { once } from "node:events";
import { DatagramLink, type DatagramRuleOptions } from "@pistachioway/standins";
import { suite } from "uvu";
import * as assert from "uvu/assert";

const test = suite("DatagramLink");

/** Sends 1 to 4 through a link; resolves to what arrived once `last` has, and the first reply. */
async function sendThrough(rules: DatagramRuleOptions[], last: string): Promise<string[]> {
  const receiver = createSocket("udp4");
  await bind(receiver);
  const link = DatagramLink.create("peer", `127.0.0.1:${String(receiver.address().port)}`);
  const { port } = new URL(`udp://${await link.listen()}`);
  link.setRules(rules);
  const sender = createSocket("udp4");
  await bind(sender);
  const arrived: string[] = [];
  const lastArrived = new Promise<void>((resolve) => {
    receiver.on("message", (message, from) => {
      arrived.push(message.toString());
      receiver.send(`answer to ${message.toString()}`, from.port, from.address);
      if (message.toString() === last) {
        resolve();
      }
    });
  });
  for (const number of ["1", "2", "3", "4"]) {
    sender.send(number, Number(port), "127.0.0.1");
  }
  await lastArrived;
  const [answer] = (await once(sender, "message")) as [Buffer];
  arrived.push(answer.toString());
  sender.close();
  receiver.close();
  await link.close();
  return arrived;
}

function bind(socket: Socket): Promise<void> {
  return new Promise((resolve) => socket.bind(0, "127.0.0.1", resolve));
}

test("drops, duplicates and reorders the n-th datagram", async () => {
  assert.equal(
    [
      await sendThrough([{ message: 2, count: 2, action: "drop" }], "4"),
      await sendThrough([{ message: 3, action: "duplicate" }], "4"),
      await sendThrough([{ message: 3, action: "hold" }], "3"),
    ],
    [
      ["1", "4", "answer to 1"],
      ["1", "2", "3", "3", "4", "answer to 1"],
      ["1", "2", "4", "3", "answer to 1"],
    ],
  );
});

test.run();
