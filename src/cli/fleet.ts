import type {Command} from 'commander';
import {callOperatorApi, withChangeId, withOperatorOptions} from './operator-client.js';
import type {OperatorOptions} from './operator-client.js';
import {describeJson, printReply} from './output.js';

type DrainOptions = OperatorOptions & {readonly undo?: boolean};

/** Adds the subcommand `drain`, which stops new work for an entry VM or an upstream, or allows it again with `--undo`. */
export function registerDrain(program: Command): void {
	withChangeId(withOperatorOptions(program.command('drain').description('stop giving new work to an entry VM or an upstream')))
		.argument('<kind>', '"vm" or "upstream"')
		.argument('<name>', 'name of the VM or upstream')
		.option('--undo', 'give it new work again')
		.addHelpText('after', '\nExample:\n  $ jasminehead drain upstream engine-3 --operators 127.0.0.1:9100 --token "$TOKEN"')
		.action(async (kind: string, name: string, options: DrainOptions) => {
			const isDraining = !options.undo;
			const reply = await callOperatorApi(options, 'PUT', '/v1/drains', {
				changeId: options.changeId, kind, name, draining: isDraining,
			});
			printReply(options, reply, () => `${kind} ${name} is ${isDraining ? 'draining' : 'in service'}`);
		});
}

/** Adds the subcommand `state`, which prints the state of one process. */
export function registerState(program: Command): void {
	withOperatorOptions(program.command('state').description('dump the state of one process as JSON'))
		.addHelpText('after', '\nExample:\n  $ jasminehead state --operators 127.0.0.1:9100 --token "$TOKEN"')
		.action(async (options: OperatorOptions) => {
			printReply(options, await callOperatorApi(options, 'GET', '/state'), describeJson);
		});
}

/** Adds the subcommands `orders list` and `orders submit`. */
export function registerOrders(program: Command): void {
	const orders = program.command('orders').description('give orders to engines: load a model or adapter, change role');
	withOperatorOptions(orders.command('list').description('list orders and their outcomes'))
		.addHelpText('after', '\nExample:\n  $ jasminehead orders list --operators 127.0.0.1:9100 --token "$TOKEN"')
		.action(async (options: OperatorOptions) => {
			printReply(options, await callOperatorApi(options, 'GET', '/v1/orders'), describeJson);
		});
	withChangeId(withOperatorOptions(orders.command('submit').description('submit an order for one engine')))
		.requiredOption('--upstream <name>', 'engine that carries out the order')
		.requiredOption('--order <json>', 'the order as JSON, see docs/interface.md')
		.addHelpText('after', '\nExample:\n  $ jasminehead orders submit --upstream engine-3 --order \'{"kind":"set-role","role":"decode"}\' --operators 127.0.0.1:9100 --token "$TOKEN"')
		.action(async (options: OperatorOptions & {upstream: string; order: string}) => {
			const {changeId, upstream, order} = options;
			const reply = await callOperatorApi(options, 'POST', '/v1/orders', {changeId, upstream, order: JSON.parse(order) as unknown});
			printReply(options, reply, describeJson);
		});
}
