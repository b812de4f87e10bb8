// Package workers runs tasks on a fixed number of goroutines. Tasks with the
// same key run one after the other, in the order of their submission.
package workers

import "sync"

// queueLength is the number of tasks that wait for one worker. Submit blocks
// beyond it, which slows the reading of peer links.
const queueLength = 1024

// Pool is a set of workers. Tasks must not block.
type Pool struct {
	queues []chan func()
	wg     sync.WaitGroup
}

// NewPool starts n workers.
func NewPool(n int) *Pool {
	p := &Pool{queues: make([]chan func(), n)}
	for i := range p.queues {
		queue := make(chan func(), queueLength)
		p.queues[i] = queue
		p.wg.Go(func() {
			for task := range queue {
				task()
			}
		})
	}
	return p
}

// Submit hands a task to the worker of its key.
func (p *Pool) Submit(key uint64, task func()) {
	p.queues[key%uint64(len(p.queues))] <- task
}

// Close runs the tasks that are queued and ends the workers. Submit must not
// be called afterwards.
func (p *Pool) Close() {
	for _, queue := range p.queues {
		close(queue)
	}
	p.wg.Wait()
}
