import { Module } from "@nestjs/common";
import { NestFactory } from "@nestjs/core";
import { FastifyAdapter, type NestFastifyApplication } from "@nestjs/platform-fastify";
import { OperationsController } from "./OperationsController.js";
import { OperationsView } from "./OperationsView.js";

@Module({})
class OperationsModule {}

/**
 * Creates the HTTP application for the operations listener.
 * @param view - What operators can read.
 */
export async function createOperationsApplication(
  view: OperationsView,
): Promise<NestFastifyApplication> {
  const module = {
    module: OperationsModule,
    controllers: [OperationsController],
    providers: [{ provide: OperationsView, useValue: view }],
  };
  const adapter = new FastifyAdapter({ forceCloseConnections: true });
  return await NestFactory.create<NestFastifyApplication>(module, adapter, { logger: false });
}
