/**
 * A minimal forwarder with the daemons' HTTP libraries only. Its memory is the part of
 * a daemon's memory that does not belong to juniperhook.
 */

import { createServer } from 'node:http'
import { H3, toNodeHandler } from 'h3'
import { request } from 'undici'

const [ip = '127.0.0.1', port = '0', target = ''] = process.argv.slice(2)
const app = new H3()
app.all('/**', async event => {
	const res = await request(`http://${target}${event.url.pathname}`)
	return new Response(await res.body.arrayBuffer(), { status: res.statusCode })
})
createServer(toNodeHandler(app)).listen(Number(port), ip)
