/** Runs one test double as a separate process, and prints its addresses as one line of JSON once it listens. */
import process from 'node:process';
import {Command} from 'commander';
import {FakeEngine} from './engine.js';
import type {FakeEngineOptions} from './engine.js';
import {Forwarder} from './forwarder.js';
import {FakePlainService} from './plain-service.js';
import type {FakePlainServiceOptions} from './plain-service.js';
import {FakePlatformList} from './platform-list.js';
import type {FakePlatformListOptions} from './platform-list.js';
import type {FakeServer} from './server.js';
import {FakeWeightStore} from './weight-store.js';
import type {FakeWeightStoreOptions} from './weight-store.js';

async function runDouble(double: FakeServer): Promise<void> {
	await double.start();
	console.log(JSON.stringify({name: double.name, address: double.address, control: double.controlAddress}));
	const stop = async (): Promise<void> => {
		await double.dispose();
		// Pooled connections to other doubles would keep the process alive for seconds.
		process.exit(0); // eslint-disable-line unicorn/no-process-exit -- pooled connections would delay the exit
	};

	process.once('SIGTERM', stop);
	process.once('SIGINT', stop);
}

function createCommand(name: string): Command {
	return new Command(name)
		.requiredOption('--name <name>', 'name in answers and records')
		.option('--port <port>', 'port of the service; free when 0', Number, 0)
		.option('--control-port <port>', 'port of the control address; free when 0', Number, 0);
}

const program = new Command('fakes').description('Test doubles of outside systems');
program.addCommand(createCommand('engine')
	.option('--role <role>', 'prefill, decode or both', 'both')
	.option('--models <names>', 'models loaded at the start, separated by commas', value => value.split(','), [])
	.option('--slots <count>', 'requests decoded at once', Number, 20)
	.option('--cache-blocks <count>', 'KV cache blocks', Number, 2000)
	.option('--link-rate <bytes>', 'bytes per second of the transfer link', Number, 1e10)
	.option('--prefill-token-ms <ms>', 'time per uncached prompt token', Number, 0.07)
	.option('--decode-step-ms <ms>', 'fixed time of a decode step', Number, 20)
	.option('--ignore-fencing', 'accept orders with a stale fencing number')
	.option('--weight-store <address>', 'store that orders load from')
	.action(async (options: FakeEngineOptions & {ignoreFencing?: boolean}) => runDouble(new FakeEngine({...options, checksFencing: !options.ignoreFencing}))));
program.addCommand(createCommand('plain')
	.option('--service-ms <ms>', 'service time of one call', Number, 10)
	.option('--concurrency <count>', 'calls served at once', Number, 64)
	.action(async (options: FakePlainServiceOptions) => runDouble(new FakePlainService(options))));
program.addCommand(createCommand('platform')
	.option('--vms <names>', 'VMs that are live at the start, separated by commas', value => value.split(','), [])
	.option('--lag-ms <ms>', 'delay until a change shows', Number, 2000)
	.action(async (options: FakePlatformListOptions) => runDouble(new FakePlatformList(options))));
program.addCommand(createCommand('weights')
	.option('--rate <bytes>', 'bytes per second over all loads', Number, 1e9)
	.action(async (options: FakeWeightStoreOptions) => runDouble(new FakeWeightStore(options))));
program.addCommand(new Command('forwarder')
	.requiredOption('--target <address>', 'IP address and port to forward to')
	.option('--port <port>', 'port to listen on; free when 0', Number, 0)
	.action(async ({target, port}: {target: string; port: number}) => {
		const forwarder = new Forwarder(target);
		await forwarder.start(port);
		console.log(JSON.stringify({address: forwarder.address}));
	}));
await program.parseAsync(process.argv);
